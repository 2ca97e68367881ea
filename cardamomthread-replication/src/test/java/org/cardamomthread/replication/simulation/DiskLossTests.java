package org.cardamomthread.replication.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cardamomthread.replication.ReplicaMember;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests groups that outlive the loss of two data folders at the same moment. */
public class DiskLossTests {

    private static final int INTENDED_VOTERS = 5;
    private static final int MAX_SPARES = 5;
    private static final int SEEDS_PER_ROW = 5;
    private static final int RECOVERY_STEPS = 4000;

    /** Ten election timeouts: as many as there are in the time that a new host has to catch up. */
    private static final long CATCH_UP_MS = 1_500;

    @DataProvider
    public Object[][] spareCounts() {
        Object[][] rows = new Object[MAX_SPARES][];
        for (int spares = 1; spares <= MAX_SPARES; spares++) {
            rows[spares - 1] = new Object[] {spares, spares < 2 ? 3 : INTENDED_VOTERS};
        }
        return rows;
    }

    @Test(dataProvider = "spareCounts")
    public void leaderAddsVotersSoonAfterTheFirstStart(int spares, int expectedVoters) {
        for (int seed = 1; seed <= 4 * SEEDS_PER_ROW; seed++) {
            SimulatedCluster cluster =
                    SimulatedCluster.withVoterCount(seed, INTENDED_VOTERS, spares);
            awaitVoters(cluster, expectedVoters, CATCH_UP_MS, seed);
            cluster.run(1_000);
            assertEquals(voters(cluster).size(), expectedVoters, "seed " + seed);
        }
    }

    /**
     * Guards against a group that keeps the places of lost hosts, and has no majority at last,
     * where fewer hosts exist than shall vote.
     */
    @Test
    public void outlivesReplacedHostsWithFewerHostsThanIntendedVoters() {
        for (int seed = 1; seed <= 4 * SEEDS_PER_ROW; seed++) {
            SimulatedCluster cluster = SimulatedCluster.withVoterCount(seed, INTENDED_VOTERS, 3);
            List<SimulatedNode> successors = cluster.nodes().subList(3, 6);
            successors.forEach(SimulatedNode::crash);
            awaitVoters(cluster, 3, RECOVERY_STEPS, seed);
            for (int i = 0; i < successors.size(); i++) {
                awaitAcknowledgement(cluster, 3);
                cluster.node(i).loseFolder();
                successors.get(i).start();
                for (int step = 0; !cluster.isVoter(successors.get(i)); step++) {
                    assertTrue(step < RECOVERY_STEPS, "seed " + seed + ": no place for " + i);
                    cluster.step();
                }
            }
            awaitAcknowledgement(cluster, 3);
            assertEquals(voters(cluster), successors, "seed " + seed);
        }
    }

    /** Each pair of voters, with and without a power loss of all other nodes. */
    @DataProvider
    public Object[][] lostVoters() {
        List<Object[]> rows = new ArrayList<>();
        for (int first = 0; first < INTENDED_VOTERS; first++) {
            for (int second = first + 1; second < INTENDED_VOTERS; second++) {
                rows.add(new Object[] {first, second, 2, false});
                rows.add(new Object[] {first, second, 2, true});
                rows.add(new Object[] {first, second, MAX_SPARES, true});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /**
     * Guards against an acknowledged command that only the two lost folders held, and against a
     * group that elects no leader any more.
     */
    @Test(dataProvider = "lostVoters")
    public void outlivesTheLossOfTwoFoldersRightAfterAnAcknowledgement(
            int first, int second, int spares, boolean isPowerLost) {
        for (int seed = 1; seed <= SEEDS_PER_ROW; seed++) {
            SimulatedCluster cluster =
                    SimulatedCluster.withVoterCount(seed, INTENDED_VOTERS, spares);
            awaitVoters(cluster, INTENDED_VOTERS, RECOVERY_STEPS, seed);
            awaitAcknowledgement(cluster, 10);
            List<SimulatedNode> voters = voters(cluster);
            voters.get(first).loseFolder();
            voters.get(second).loseFolder();
            if (isPowerLost) {
                cluster.nodes().forEach(SimulatedNode::crash);
            }
            cluster.removeAllFaults();
            cluster.runUntilRecovered(RECOVERY_STEPS);
            assertEquals(voters(cluster).size(), INTENDED_VOTERS, "seed " + seed);
        }
    }

    /** Guards against a group that counts returning empty folders as the voters they were. */
    @Test
    public void losesTwoFoldersAgainOnceBothHaveBeenReplaced() {
        for (int seed = 1; seed <= SEEDS_PER_ROW; seed++) {
            SimulatedCluster cluster = SimulatedCluster.withVoterCount(seed, INTENDED_VOTERS, 2);
            awaitVoters(cluster, INTENDED_VOTERS, RECOVERY_STEPS, seed);
            for (int round = 0; round < INTENDED_VOTERS; round++) {
                awaitAcknowledgement(cluster, 3);
                List<SimulatedNode> voters = voters(cluster);
                voters.get(round).loseFolder();
                voters.get((round + 1) % INTENDED_VOTERS).loseFolder();
                cluster.removeAllFaults();
                cluster.runUntilRecovered(RECOVERY_STEPS);
            }
        }
    }

    @DataProvider
    public Object[][] cutSteps() {
        List<Object[]> rows = new ArrayList<>();
        for (int steps = 0; steps <= 8; steps++) {
            rows.add(new Object[] {steps, false});
            rows.add(new Object[] {steps, true});
        }
        return rows.toArray(Object[][]::new);
    }

    /**
     * Guards against a second group of three empty folders: the third of the first voters is cut
     * off since shortly after it has allowed the first one to form the group, and the two others
     * lose their folders.
     */
    @Test(dataProvider = "cutSteps")
    public void formsNoSecondGroupWithAFirstVoterThatHasNoEntryYet(
            int stepsUntilCut, boolean isRestarted) {
        for (int seed = 1; seed <= 2 * SEEDS_PER_ROW; seed++) {
            SimulatedCluster cluster = SimulatedCluster.withVoterCount(seed, INTENDED_VOTERS, 2);
            SimulatedNode first = cluster.node(0);
            SimulatedNode last = cluster.node(2);
            while (first.status().lastIndex() == 0) {
                cluster.step();
            }
            cluster.run(stepsUntilCut);
            cluster.network().isolate(Set.of(last.id()));
            awaitVoters(cluster, INTENDED_VOTERS, RECOVERY_STEPS, seed);
            awaitAcknowledgement(cluster, 3);
            first.loseFolder();
            cluster.node(1).loseFolder();
            if (isRestarted) {
                last.crash();
            }
            cluster.removeAllFaults();
            cluster.runUntilRecovered(RECOVERY_STEPS);
        }
    }

    private static void awaitVoters(SimulatedCluster cluster, int count, long maxMs, int seed) {
        while (voters(cluster).size() < count || !isMembershipCommitted(cluster)) {
            assertTrue(
                    cluster.nowMs() < maxMs,
                    "seed " + seed + ": after " + maxMs + " ms vote " + voters(cluster).size());
            cluster.step();
        }
    }

    private static boolean isMembershipCommitted(SimulatedCluster cluster) {
        return cluster.leader()
                .map(SimulatedNode::status)
                .filter(status -> status.commitIndex() == status.lastIndex())
                .isPresent();
    }

    /** Proposes one command after the other and returns in the step of an acknowledgement. */
    private static void awaitAcknowledgement(SimulatedCluster cluster, int count) {
        int end = cluster.invariants().acknowledgedCount() + count;
        for (int step = 0; cluster.invariants().acknowledgedCount() < end; step++) {
            assertTrue(step < RECOVERY_STEPS, "not acknowledged in " + step + " steps");
            if (step % 7 == 0) {
                cluster.leader().ifPresent(cluster::proposeAt);
            }
            cluster.step();
        }
    }

    private static List<SimulatedNode> voters(SimulatedCluster cluster) {
        List<ReplicaMember> members =
                cluster.leader().map(leader -> leader.status().members()).orElse(List.of());
        return cluster.nodes().stream()
                .filter(
                        node ->
                                members.stream()
                                        .anyMatch(
                                                member ->
                                                        member.isVoter()
                                                                && member.nodeId()
                                                                        .equals(node.id())))
                .toList();
    }
}
