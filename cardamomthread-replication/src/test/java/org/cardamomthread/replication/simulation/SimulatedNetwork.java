package org.cardamomthread.replication.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.NodeId;

/** Simulates a network that loses, delays, reorders and duplicates messages. */
final class SimulatedNetwork {

    private static final int MAX_USUAL_DELAY_MS = 12;
    private static final int MAX_LONG_DELAY_MS = 500;

    private final RandomGenerator random;
    private final PriorityQueue<Packet> packetsInTransit =
            new PriorityQueue<>(
                    Comparator.comparingLong(Packet::dueMs).thenComparingLong(Packet::sequence));
    private final Set<NodeId> isolatedNodes = new HashSet<>();
    private final Set<Set<NodeId>> blockedLinks = new HashSet<>();
    private double lossRate;
    private long nextSequence;

    /** Holds a message in transit and its delivery time. */
    record Packet(long dueMs, long sequence, NodeId from, NodeId to, byte[] message) {}

    SimulatedNetwork(RandomGenerator random) {
        this.random = random;
    }

    void setLossRate(double lossRate) {
        this.lossRate = lossRate;
    }

    /** Isolates a set of nodes from all others, and restores all other links. */
    void isolate(Set<NodeId> nodes) {
        blockedLinks.clear();
        isolatedNodes.clear();
        isolatedNodes.addAll(nodes);
    }

    void blockLink(NodeId firstNode, NodeId secondNode) {
        blockedLinks.add(Set.of(firstNode, secondNode));
    }

    private boolean isBlocked(Packet packet) {
        return isolatedNodes.contains(packet.from()) != isolatedNodes.contains(packet.to())
                || blockedLinks.contains(Set.of(packet.from(), packet.to()));
    }

    void send(long nowMs, NodeId from, NodeId to, byte[] message) {
        int copies = random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean isLongDelay = lossRate > 0 && random.nextInt(30) == 0;
            long delayMs = random.nextInt(isLongDelay ? MAX_LONG_DELAY_MS : MAX_USUAL_DELAY_MS);
            packetsInTransit.add(new Packet(nowMs + delayMs, nextSequence++, from, to, message));
        }
    }

    List<Packet> takeDue(long nowMs) {
        List<Packet> due = new ArrayList<>();
        while (!packetsInTransit.isEmpty() && packetsInTransit.peek().dueMs() <= nowMs) {
            Packet packet = packetsInTransit.poll();
            if (!isBlocked(packet) && random.nextDouble() >= lossRate) {
                due.add(packet);
            }
        }
        return due;
    }
}
