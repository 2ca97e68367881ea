package org.cardamomthread.replication.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.ReplicaRole;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs chosen faults in simulated time. */
public class ReplicationScenarioTests {

    private static final int SETTLE_STEPS = 400;
    private static final int RECOVERY_STEPS = 4000;

    @DataProvider
    public Object[][] seeds() {
        return IntStream.rangeClosed(1, 5).mapToObj(i -> new Object[] {i}).toArray(Object[][]::new);
    }

    private static SimulatedCluster settled(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed);
        cluster.run(SETTLE_STEPS);
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
        return IntStream.range(0, SimulatedCluster.VOTERS)
                .mapToObj(cluster::node)
                .filter(node -> node != leader(cluster))
                .skip(offset)
                .findFirst()
                .orElseThrow();
    }

    @Test(dataProvider = "seeds")
    public void losesNothingWhenASecondFolderIsLostRightAfterARepair(int seed) {
        SimulatedCluster cluster = settled(seed);
        SimulatedNode first = follower(cluster, 0);
        SimulatedNode second = follower(cluster, 1);
        propose(cluster, 20);
        first.loseFolder();
        propose(cluster, 20);
        first.start();
        for (int i = 0; i < RECOVERY_STEPS && !cluster.isWhole(); i++) {
            cluster.step();
        }
        assertTrue(cluster.isWhole());
        second.loseFolder();
        propose(cluster, 20);
        second.start();
        cluster.requireRecovery(RECOVERY_STEPS);
        assertTrue(cluster.invariants().acknowledgedCount() >= 40);
    }

    @Test(dataProvider = "seeds")
    public void stopsRatherThanRevertsWhenTheMajorityOfFoldersIsLost(int seed) {
        SimulatedCluster cluster = settled(seed);
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
    public void formsNoSecondGroupWhenTheFirstNodeLostItsFolder(int seed) {
        SimulatedCluster cluster = settled(seed);
        propose(cluster, 5);
        cluster.node(0).loseFolder();
        cluster.node(0).start();
        cluster.requireRecovery(RECOVERY_STEPS);
        assertEquals(cluster.node(0).status().members().size(), SimulatedCluster.VOTERS);
    }

    @Test(dataProvider = "seeds")
    public void suspendedLeaderServesNothingAfterItWakes(int seed) {
        SimulatedCluster cluster = settled(seed);
        SimulatedNode former = leader(cluster);
        former.suspend();
        cluster.run(SETTLE_STEPS);
        propose(cluster, 5);
        cluster.run(SETTLE_STEPS);
        former.resume();
        int acknowledged = cluster.invariants().acknowledgedCount();
        cluster.proposeAt(former);
        former.read();
        assertEquals(former.status().role(), ReplicaRole.FOLLOWER);
        assertFalse(former.status().isLeaseHeld());
        cluster.run(SETTLE_STEPS);
        assertEquals(cluster.invariants().acknowledgedCount(), acknowledged);
    }

    @Test(dataProvider = "seeds")
    public void isolatedLeaderStepsDown(int seed) {
        SimulatedCluster cluster = settled(seed);
        SimulatedNode former = leader(cluster);
        cluster.network().cutOff(Set.of(former.id()));
        cluster.proposeAt(former);
        cluster.run(SETTLE_STEPS);
        assertEquals(former.status().role(), ReplicaRole.PRE_CANDIDATE);
        assertTrue(leader(cluster) != former);
    }

    /**
     * Cuts the leader from one follower, which then seeks votes, and at a random moment from the
     * other one, which may have restarted. The invariants watch the leases.
     */
    @Test(dataProvider = "seeds")
    public void leasesDoNotOverlapWhenLinksFail(int seed) {
        SimulatedCluster cluster = settled(seed);
        SplittableRandom random = new SplittableRandom(seed);
        for (int round = 0; round < 40; round++) {
            SimulatedNode leader = leader(cluster);
            SimulatedNode other = follower(cluster, 1);
            cluster.network().cutLink(leader.id(), follower(cluster, 0).id());
            cluster.run(random.nextInt(150));
            if (random.nextBoolean()) {
                other.crash();
                other.start();
            }
            cluster.network().cutLink(leader.id(), other.id());
            cluster.run(SETTLE_STEPS);
            cluster.network().cutOff(Set.of());
            cluster.run(SETTLE_STEPS);
        }
    }

    @Test(dataProvider = "seeds")
    public void isolatedVoterRaisesNoTermAndDisturbsNoLeader(int seed) {
        SimulatedCluster cluster = settled(seed);
        SimulatedNode leader = leader(cluster);
        long term = leader.status().term();
        cluster.network().cutOff(Set.of(follower(cluster, 0).id()));
        cluster.run(2 * SETTLE_STEPS);
        cluster.network().cutOff(Set.of());
        cluster.run(2 * SETTLE_STEPS);
        assertEquals(leader(cluster), leader);
        assertEquals(leader.status().term(), term);
    }

    @Test(dataProvider = "seeds")
    public void survivesARestartOfAllNodesAfterHundredsOfChanges(int seed) {
        SimulatedCluster cluster = settled(seed);
        propose(cluster, 600);
        cluster.run(SETTLE_STEPS);
        IntStream.range(0, SimulatedCluster.VOTERS).forEach(i -> cluster.node(i).crash());
        cluster.run(10);
        IntStream.range(0, SimulatedCluster.VOTERS).forEach(i -> cluster.node(i).start());
        cluster.requireRecovery(RECOVERY_STEPS);
        assertTrue(cluster.invariants().acknowledgedCount() >= 500);
    }

    @Test(dataProvider = "seeds")
    public void changesMembersOneAtATime(int seed) {
        SimulatedCluster cluster = settled(seed);
        propose(cluster, 30);
        SimulatedNode spare = cluster.node(SimulatedCluster.VOTERS);
        for (int i = 0; i < 40; i++) {
            cluster.leader().ifPresent(leader -> leader.changeMembership(spare));
            propose(cluster, 3);
        }
        cluster.requireRecovery(RECOVERY_STEPS);
        Set<NodeId> names =
                leader(cluster).status().members().stream()
                        .map(member -> member.nodeId())
                        .collect(Collectors.toSet());
        assertTrue(names.size() >= SimulatedCluster.VOTERS);
    }
}
