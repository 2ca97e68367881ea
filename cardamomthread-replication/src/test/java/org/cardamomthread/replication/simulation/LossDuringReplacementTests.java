package org.cardamomthread.replication.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.cardamomthread.replication.ReplicaMember;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests losses of data folders at each moment of the replacement of a voter that is cut off. */
public class LossDuringReplacementTests {

    private static final int RECOVERY_STEPS = 4000;
    private static final int SEEDS_PER_ROW = 8;

    /** Steps of 2 ms on average; a change of members takes a few round trips of up to 24 ms. */
    private static final int MAX_STEPS_AFTER_CHANGE = 40;

    private static final int SPARE_COUNT = 5;

    /** Another event that falls into the replacement. */
    private enum Overlap {
        NONE,
        /** The leader restarts with its folder. */
        LEADER_RESTART,
        /** The silent voter returns before the folders are lost. */
        EARLY_RETURN,
        /** All nodes lose power at the moment of the loss. */
        POWER_LOSS
    }

    /** Each number of voters, number of changes of members before the loss, and other event. */
    @DataProvider
    public Object[][] losses() {
        List<Object[]> rows = new ArrayList<>();
        for (int intendedVoters : new int[] {3, 5}) {
            for (int change = 1; change <= 3; change++) {
                for (Overlap overlap : Overlap.values()) {
                    rows.add(new Object[] {intendedVoters, change, overlap});
                }
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /** Guards against a group that has no majority for good once its silent voter is back. */
    @Test(dataProvider = "losses")
    public void recoversOnceTheSilentVoterIsBack(int intendedVoters, int change, Overlap overlap) {
        for (int seed = 1; seed <= SEEDS_PER_ROW; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            SimulatedCluster cluster =
                    SimulatedCluster.withVoterCount(seed, intendedVoters, SPARE_COUNT);
            awaitVoters(cluster, intendedVoters);
            SimulatedNode silent = follower(cluster, random);
            cluster.network().isolate(Set.of(silent.id()));
            awaitMembershipChanges(cluster, change);
            if (overlap == Overlap.EARLY_RETURN) {
                cluster.network().isolate(Set.of());
            }
            cluster.run(random.nextInt(MAX_STEPS_AFTER_CHANGE));
            if (overlap == Overlap.LEADER_RESTART) {
                cluster.leader().ifPresent(SimulatedNode::crash);
            }
            loseFolders(cluster, silent, intendedVoters / 2, random);
            if (overlap == Overlap.POWER_LOSS) {
                cluster.nodes().forEach(SimulatedNode::crash);
            }
            cluster.run(random.nextInt(RECOVERY_STEPS / 4));
            cluster.removeAllFaults();
            try {
                cluster.runUntilRecovered(RECOVERY_STEPS);
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            assertEquals(voterCount(cluster), intendedVoters, "seed " + seed);
        }
    }

    private static void loseFolders(
            SimulatedCluster cluster, SimulatedNode silent, int count, SplittableRandom random) {
        List<SimulatedNode> candidates = new ArrayList<>(cluster.nodes());
        candidates.remove(silent);
        for (int i = 0; i < count; i++) {
            candidates.remove(random.nextInt(candidates.size())).loseFolder();
        }
    }

    private static SimulatedNode follower(SimulatedCluster cluster, SplittableRandom random) {
        SimulatedNode leader = cluster.leader().orElseThrow();
        List<SimulatedNode> followers =
                cluster.nodes().stream()
                        .filter(node -> node != leader && cluster.isVoter(node))
                        .toList();
        return followers.get(random.nextInt(followers.size()));
    }

    private static void awaitVoters(SimulatedCluster cluster, int count) {
        for (int step = 0; voterCount(cluster) != count || !cluster.hasAllVoterFolders(); step++) {
            assertTrue(step < RECOVERY_STEPS, "only " + voterCount(cluster) + " voters");
            cluster.step();
        }
        for (int i = 0; i < 20; i++) {
            cluster.leader().ifPresent(cluster::proposeAt);
            cluster.run(5);
        }
    }

    /** Waits until the leader has started a number of changes of the members. */
    private static void awaitMembershipChanges(SimulatedCluster cluster, int count) {
        List<ReplicaMember> previous = members(cluster);
        int changes = 0;
        for (int step = 0; changes < count && step < RECOVERY_STEPS / 4; step++) {
            cluster.step();
            List<ReplicaMember> current = members(cluster);
            if (!current.isEmpty() && !current.equals(previous)) {
                changes++;
                previous = current;
            }
        }
        assertTrue(changes > 0, "the silent voter is not being replaced");
    }

    private static List<ReplicaMember> members(SimulatedCluster cluster) {
        return cluster.leader().map(leader -> leader.status().members()).orElse(List.of());
    }

    private static long voterCount(SimulatedCluster cluster) {
        return members(cluster).stream().filter(ReplicaMember::isVoter).count();
    }
}
