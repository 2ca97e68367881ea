package org.cardamomthread.membership.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.membership.OutgoingMessage;

/**
 * Runs node directories over a simulated network without delay that can lose messages and can be
 * partitioned between the two data centres.
 */
final class GossipCluster {

    static final DataCentreId PERTH_A = new DataCentreId("perth-a");
    static final DataCentreId PERTH_B = new DataCentreId("perth-b");

    private static final long STEP_MS = 100;
    private static final NodeAddresses ADDRESSES = new NodeAddresses("", "", "", "");

    private final ManualTimeSource time = new ManualTimeSource();
    private final Map<NodeId, NodeDirectory> runningNodes = new TreeMap<>();
    private final List<NodeEntry> seeds = new ArrayList<>();
    private final Random random;
    private final double lossProbability;
    private boolean partitioned;

    GossipCluster(long seed, int nodesPerDataCentre, double lossProbability) {
        this.random = new Random(seed);
        this.lossProbability = lossProbability;
        for (int i = 0; i < nodesPerDataCentre; i++) {
            seeds.add(NodeEntry.seed(new NodeId("a" + i), PERTH_A, ADDRESSES));
            seeds.add(NodeEntry.seed(new NodeId("b" + i), PERTH_B, ADDRESSES));
        }
        seeds.forEach(entry -> start(entry.id(), 1));
    }

    void start(NodeId id, long incarnation) {
        DataCentreId dataCentre = id.value().startsWith("a") ? PERTH_A : PERTH_B;
        NodeEntry self =
                new NodeEntry(
                        id,
                        incarnation,
                        0,
                        dataCentre,
                        ADDRESSES,
                        false,
                        java.util.Optional.empty(),
                        false);
        runningNodes.put(
                id,
                new DefaultNodeDirectory(
                        self,
                        seeds.subList(0, 2),
                        NodeDirectorySettings.defaults(),
                        time,
                        new Random(random.nextLong())));
    }

    void kill(String id) {
        runningNodes.remove(new NodeId(id));
    }

    void setPartitioned(boolean newPartitioned) {
        partitioned = newPartitioned;
    }

    /** Advances the clock by a heartbeat interval without sending any message. */
    void advancePastHeartbeatInterval() {
        time.advanceMs(NodeDirectorySettings.defaults().heartbeatIntervalMs());
    }

    /** Advances the clock step by step and delivers all messages of each step. */
    void run(long durationMs) {
        for (long ms = 0; ms < durationMs; ms += STEP_MS) {
            time.advanceMs(STEP_MS);
            for (NodeId id : List.copyOf(runningNodes.keySet())) {
                deliver(id, runningNodes.get(id).tick());
            }
        }
    }

    /** Delivers messages and their responses, unless they are lost. */
    void deliver(NodeId from, List<OutgoingMessage> messages) {
        for (OutgoingMessage message : messages) {
            boolean lost =
                    random.nextDouble() < lossProbability
                            || partitioned && isInPerthA(from) != isInPerthA(message.to())
                            || !runningNodes.containsKey(message.to());
            if (!lost) {
                NodeDirectory receiver = runningNodes.get(message.to());
                deliver(message.to(), receiver.receive(from, message.message()));
            }
        }
    }

    NodeDirectory node(String id) {
        return runningNodes.get(new NodeId(id));
    }

    Map<NodeId, NodeDirectory> runningNodes() {
        return runningNodes;
    }

    NodeState stateSeenBy(String observer, String observed) {
        return node(observer).find(new NodeId(observed)).orElseThrow().state();
    }

    private static boolean isInPerthA(NodeId id) {
        return id.value().startsWith("a");
    }
}
