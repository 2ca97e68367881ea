package org.cardamomthread.replication.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.ReplicaMember;
import org.cardamomthread.replication.ReplicaRole;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests specific fault scenarios in simulated time. */
public class ReplicationScenarioTests {

    private static final int ELECTION_STEPS = 400;
    private static final int RECOVERY_STEPS = 4000;

    @DataProvider
    public Object[][] seeds() {
        return IntStream.rangeClosed(1, 5).mapToObj(i -> new Object[] {i}).toArray(Object[][]::new);
    }

    @DataProvider
    public Object[][] manySeeds() {
        return IntStream.rangeClosed(1, 100)
                .mapToObj(i -> new Object[] {i})
                .toArray(Object[][]::new);
    }

    /** A majority that is connected needs a few election timeouts of 75 steps each. */
    @Test(dataProvider = "manySeeds")
    public void electsALeaderSoonThoughAllNodesStartedWithTheSameSeed(int seed) {
        SimulatedCluster cluster = SimulatedCluster.withEqualSeeds(seed);
        cluster.run(ELECTION_STEPS);
        SimulatedNode first = leader(cluster);
        first.crash();
        cluster.run(ELECTION_STEPS);
        assertTrue(cluster.leader().isPresent(), "no leader after " + ELECTION_STEPS + " steps");
    }

    private static SimulatedCluster clusterWithLeader(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        cluster.run(ELECTION_STEPS);
        return cluster;
    }

    private static SimulatedNode leader(SimulatedCluster cluster) {
        return cluster.leader().orElseThrow();
    }

    private static void propose(SimulatedCluster cluster, int count) {
        for (int i = 0; i < count; i++) {
            cluster.leader().ifPresent(cluster::proposeAt);
            cluster.run(5);
        }
    }

    private static SimulatedNode follower(SimulatedCluster cluster, int offset) {
        return IntStream.range(0, SimulatedCluster.VOTER_COUNT)
                .mapToObj(cluster::node)
                .filter(node -> node != leader(cluster))
                .skip(offset)
                .findFirst()
                .orElseThrow();
    }

    @Test(dataProvider = "seeds")
    public void losesNoCommandWhenASecondFolderIsLostAfterRecovery(int seed) {
        SimulatedCluster cluster = clusterWithLeader(seed);
        SimulatedNode first = follower(cluster, 0);
        SimulatedNode second = follower(cluster, 1);
        propose(cluster, 20);
        first.loseFolder();
        propose(cluster, 20);
        first.start();
        for (int i = 0; i < RECOVERY_STEPS && !cluster.hasAllVoterFolders(); i++) {
            cluster.step();
        }
        assertTrue(cluster.hasAllVoterFolders());
        second.loseFolder();
        propose(cluster, 20);
        second.start();
        cluster.runUntilRecovered(RECOVERY_STEPS);
        assertTrue(cluster.invariants().acknowledgedCount() >= 40);
    }

    @Test(dataProvider = "seeds")
    public void electsNoLeaderWhenTheMajorityOfFoldersIsLost(int seed) {
        SimulatedCluster cluster = clusterWithLeader(seed);
        propose(cluster, 10);
        int acknowledged = cluster.invariants().acknowledgedCount();
        SimulatedNode first = follower(cluster, 0);
        SimulatedNode second = leader(cluster);
        first.loseFolder();
        second.loseFolder();
        first.start();
        second.start();
        cluster.run(RECOVERY_STEPS);
        assertTrue(cluster.leader().isEmpty());
        assertEquals(cluster.invariants().acknowledgedCount(), acknowledged);
    }

    @Test(dataProvider = "seeds")
    public void bootstrapsNoSecondGroupWhenTheFirstNodeLostItsFolder(int seed) {
        SimulatedCluster cluster = clusterWithLeader(seed);
        propose(cluster, 5);
        cluster.node(0).loseFolder();
        cluster.node(0).start();
        cluster.runUntilRecovered(RECOVERY_STEPS);
        assertEquals(cluster.node(0).status().members().size(), SimulatedCluster.VOTER_COUNT);
    }

    @Test(dataProvider = "seeds")
    public void suspendedLeaderServesNothingAfterItResumes(int seed) {
        SimulatedCluster cluster = clusterWithLeader(seed);
        SimulatedNode previousLeader = leader(cluster);
        previousLeader.suspend();
        cluster.run(ELECTION_STEPS);
        propose(cluster, 5);
        cluster.run(ELECTION_STEPS);
        previousLeader.resume();
        int acknowledged = cluster.invariants().acknowledgedCount();
        cluster.proposeAt(previousLeader);
        previousLeader.read();
        assertEquals(previousLeader.status().role(), ReplicaRole.FOLLOWER);
        assertFalse(previousLeader.status().isLeaseHeld());
        cluster.run(ELECTION_STEPS);
        assertEquals(cluster.invariants().acknowledgedCount(), acknowledged);
    }

    @Test(dataProvider = "seeds")
    public void isolatedLeaderStepsDown(int seed) {
        SimulatedCluster cluster = clusterWithLeader(seed);
        SimulatedNode previousLeader = leader(cluster);
        cluster.network().isolate(Set.of(previousLeader.id()));
        cluster.proposeAt(previousLeader);
        cluster.run(ELECTION_STEPS);
        assertEquals(previousLeader.status().role(), ReplicaRole.PRE_CANDIDATE);
        assertTrue(leader(cluster) != previousLeader);
    }

    /**
     * Blocks the link between the leader and one follower, which then starts an election, and after
     * a random time the link to the other follower, which may have restarted. The cluster
     * invariants check that leases do not overlap.
     */
    @Test(dataProvider = "seeds")
    public void leasesDoNotOverlapWhenLinksFail(int seed) {
        SimulatedCluster cluster = clusterWithLeader(seed);
        SplittableRandom random = new SplittableRandom(seed);
        for (int round = 0; round < 40; round++) {
            SimulatedNode leader = leader(cluster);
            SimulatedNode other = follower(cluster, 1);
            cluster.network().blockLink(leader.id(), follower(cluster, 0).id());
            cluster.run(random.nextInt(150));
            if (random.nextBoolean()) {
                other.crash();
                other.start();
            }
            cluster.network().blockLink(leader.id(), other.id());
            cluster.run(ELECTION_STEPS);
            cluster.network().isolate(Set.of());
            cluster.run(ELECTION_STEPS);
        }
    }

    @Test(dataProvider = "seeds")
    public void isolatedVoterNeitherRaisesTheTermNorDisruptsTheLeader(int seed) {
        SimulatedCluster cluster = clusterWithLeader(seed);
        SimulatedNode leader = leader(cluster);
        long term = leader.status().term();
        cluster.network().isolate(Set.of(follower(cluster, 0).id()));
        cluster.run(2 * ELECTION_STEPS);
        cluster.network().isolate(Set.of());
        cluster.run(2 * ELECTION_STEPS);
        assertEquals(leader(cluster), leader);
        assertEquals(leader.status().term(), term);
    }

    @Test(dataProvider = "seeds")
    public void recoversFromARestartOfAllNodesAfterHundredsOfCommands(int seed) {
        SimulatedCluster cluster = clusterWithLeader(seed);
        propose(cluster, 600);
        cluster.run(ELECTION_STEPS);
        IntStream.range(0, SimulatedCluster.VOTER_COUNT).forEach(i -> cluster.node(i).crash());
        cluster.run(10);
        IntStream.range(0, SimulatedCluster.VOTER_COUNT).forEach(i -> cluster.node(i).start());
        cluster.runUntilRecovered(RECOVERY_STEPS);
        assertTrue(cluster.invariants().acknowledgedCount() >= 500);
    }

    /** Guards against a group that is lost once most of its first nodes have been replaced. */
    @Test(dataProvider = "seeds")
    public void outlivesTheLossOfAllFirstVotersOneAfterAnother(int seed) {
        SimulatedCluster cluster = SimulatedCluster.withReplacement(seed);
        for (int i = 0; i < SimulatedCluster.VOTER_COUNT; i++) {
            cluster.node(SimulatedCluster.VOTER_COUNT + i).crash();
        }
        cluster.run(ELECTION_STEPS);
        for (int i = 0; i < SimulatedCluster.VOTER_COUNT; i++) {
            propose(cluster, 20);
            cluster.node(i).loseFolder();
            SimulatedNode successor = cluster.node(SimulatedCluster.VOTER_COUNT + i);
            successor.start();
            awaitVoter(cluster, successor);
        }
        int acknowledged = cluster.invariants().acknowledgedCount();
        propose(cluster, 20);
        cluster.runUntilRecovered(RECOVERY_STEPS);
        assertTrue(cluster.invariants().acknowledgedCount() >= acknowledged + 15);
        assertEquals(voterCount(cluster), SimulatedCluster.VOTER_COUNT);
    }

    /** A voter that was cut off and replaced must not count twice, and serves as a spare later. */
    @Test(dataProvider = "seeds")
    public void replacedVoterThatReturnsTakesTheNextVacantPlace(int seed) {
        SimulatedCluster cluster = SimulatedCluster.withReplacement(seed);
        cluster.node(SimulatedCluster.VOTER_COUNT + 1).crash();
        cluster.node(SimulatedCluster.VOTER_COUNT + 2).crash();
        cluster.run(ELECTION_STEPS);
        SimulatedNode replaced = follower(cluster, 0);
        cluster.network().isolate(Set.of(replaced.id()));
        awaitVoter(cluster, cluster.node(SimulatedCluster.VOTER_COUNT));
        propose(cluster, 20);
        cluster.network().isolate(Set.of());
        cluster.run(4 * ELECTION_STEPS);
        assertEquals(voterCount(cluster), SimulatedCluster.VOTER_COUNT);
        assertFalse(cluster.isVoter(replaced));
        leader(cluster).crash();
        awaitVoter(cluster, replaced);
        propose(cluster, 20);
        cluster.runUntilRecovered(RECOVERY_STEPS);
    }

    private static void awaitVoter(SimulatedCluster cluster, SimulatedNode node) {
        for (int i = 0; i < RECOVERY_STEPS; i++) {
            cluster.step();
            if (cluster.isVoter(node) && cluster.hasAllVoterFolders()) {
                return;
            }
        }
        throw new AssertionError(node.id() + " has not become a voter");
    }

    private static long voterCount(SimulatedCluster cluster) {
        return leader(cluster).status().members().stream().filter(ReplicaMember::isVoter).count();
    }

    @Test(dataProvider = "seeds")
    public void changesMembersOneAtATime(int seed) {
        SimulatedCluster cluster = clusterWithLeader(seed);
        propose(cluster, 30);
        SimulatedNode spare = cluster.node(SimulatedCluster.VOTER_COUNT);
        for (int i = 0; i < 40; i++) {
            cluster.leader().ifPresent(leader -> leader.advanceMembershipOf(spare));
            propose(cluster, 3);
        }
        cluster.runUntilRecovered(RECOVERY_STEPS);
        Set<NodeId> memberNodes =
                leader(cluster).status().members().stream()
                        .map(member -> member.nodeId())
                        .collect(Collectors.toSet());
        assertTrue(memberNodes.size() >= SimulatedCluster.VOTER_COUNT);
    }
}
