package org.cardamomthread.membership.node;

import static org.cardamomthread.membership.node.GossipCluster.PERTH_A;
import static org.cardamomthread.membership.node.GossipCluster.PERTH_B;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.OutgoingMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link DefaultNodeDirectory} in simulated clusters. */
public class NodeDirectoryTests {

    @DataProvider
    public Object[][] clusters() {
        return new Object[][] {{1L, 3, 0.0}, {2L, 4, 0.1}, {3L, 20, 0.05}, {4L, 40, 0.0}};
    }

    @Test(dataProvider = "clusters")
    public void everyNodeDiscoversAllNodesFromTwoSeeds(
            long seed, int nodesPerDataCentre, double lossProbability) {
        GossipCluster cluster = new GossipCluster(seed, nodesPerDataCentre, lossProbability);
        cluster.run(15_000);
        for (NodeDirectory node : cluster.runningNodes().values()) {
            assertEquals(node.usableNodes(PERTH_A).size(), nodesPerDataCentre);
            assertEquals(node.usableNodes(PERTH_B).size(), nodesPerDataCentre);
        }
    }

    @Test(dataProvider = "clusters")
    public void highestRevisionReachesAllNodesWithinFiveSeconds(
            long seed, int nodesPerDataCentre, double lossProbability) {
        GossipCluster cluster = new GossipCluster(seed, nodesPerDataCentre, lossProbability);
        cluster.run(15_000);
        cluster.node("a1").setActiveRevision(7);
        cluster.run(5_000);
        for (NodeDirectory node : cluster.runningNodes().values()) {
            assertEquals(node.highestRevision(), 7);
        }
    }

    @Test
    public void silentNodeBecomesSuspectThenDeadThenAliveAfterRestart() {
        GossipCluster cluster = new GossipCluster(5, 3, 0);
        cluster.run(5_000);
        cluster.kill("a1");
        cluster.run(2_500);
        assertEquals(cluster.stateSeenBy("a2", "a1"), NodeState.SUSPECT);
        cluster.run(2_500);
        assertEquals(cluster.stateSeenBy("a2", "a1"), NodeState.DEAD);
        assertFalse(cluster.node("a2").usableNodes(PERTH_A).contains(new NodeId("a1")));
        cluster.start(new NodeId("a1"), 2);
        cluster.run(5_000);
        assertEquals(cluster.stateSeenBy("a2", "a1"), NodeState.ALIVE);
    }

    @Test
    public void leavingNodeIsImmediatelyUnusable() {
        GossipCluster cluster = new GossipCluster(6, 3, 0);
        cluster.run(5_000);
        cluster.deliver(new NodeId("a1"), cluster.node("a1").leave());
        assertEquals(cluster.stateSeenBy("b0", "a1"), NodeState.LEFT);
        assertEquals(
                cluster.node("a0").usableNodes(PERTH_A),
                List.of(new NodeId("a0"), new NodeId("a2")));
    }

    @Test
    public void nodesReconnectAfterALongPartition() {
        GossipCluster cluster = new GossipCluster(7, 3, 0);
        cluster.run(5_000);
        cluster.setPartitioned(true);
        cluster.run(900_000);
        assertTrue(cluster.node("a0").usableNodes(PERTH_B).isEmpty());
        cluster.setPartitioned(false);
        cluster.run(15_000);
        assertEquals(cluster.node("a0").usableNodes(PERTH_B).size(), 3);
        assertEquals(cluster.node("b2").usableNodes(PERTH_A).size(), 3);
    }

    @Test
    public void drainIsConfirmedByReachableNodesOnly() {
        GossipCluster cluster = new GossipCluster(8, 3, 0);
        cluster.run(5_000);
        cluster.setPartitioned(true);
        cluster.node("a0").setDrained(PERTH_A, true);
        cluster.run(4_000);
        NodeDirectory observer = cluster.node("a0");
        assertEquals(
                observer.drainConfirmedBy(PERTH_A),
                Set.of(new NodeId("a0"), new NodeId("a1"), new NodeId("a2")));
        assertEquals(
                observer.drainUnconfirmedBy(PERTH_A),
                Set.of(new NodeId("b0"), new NodeId("b1"), new NodeId("b2")));
        cluster.setPartitioned(false);
        cluster.run(15_000);
        assertTrue(observer.drainUnconfirmedBy(PERTH_A).isEmpty());
    }

    @Test
    public void heartbeatOfANodeWithoutTheDrainRecordDoesNotConfirmIt() {
        GossipCluster cluster = new GossipCluster(10, 3, 0);
        cluster.run(5_000);
        NodeDirectory observer = cluster.node("a0");
        observer.setDrained(PERTH_B, true);
        cluster.advancePastHeartbeatInterval();
        for (OutgoingMessage message : cluster.node("a1").tick()) {
            if (message.to().equals(new NodeId("a0"))) {
                observer.receive(new NodeId("a1"), message.message());
            }
        }
        assertEquals(observer.drainConfirmedBy(PERTH_B), Set.of(new NodeId("a0")));
    }

    @Test
    public void restartedNodeReceivesAndConfirmsTheDrainAgain() {
        GossipCluster cluster = new GossipCluster(9, 3, 0);
        cluster.run(5_000);
        cluster.node("a0").setDrained(PERTH_B, true);
        cluster.run(10_000);
        assertTrue(cluster.node("a0").drainUnconfirmedBy(PERTH_B).isEmpty());
        cluster.kill("a1");
        cluster.setPartitioned(true);
        cluster.start(new NodeId("a1"), 2);
        cluster.run(5_000);
        assertTrue(cluster.node("a1").isDrained(PERTH_B));
        assertTrue(cluster.node("a0").drainUnconfirmedBy(PERTH_B).isEmpty());
    }
}
