package org.cardamomthread.replication.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.NodeId;

/** Loses, delays, reorders and duplicates messages. */
final class SimulatedNetwork {

    private static final int USUAL_DELAY_MS = 12;
    private static final int LONG_DELAY_MS = 500;

    private final RandomGenerator random;
    private final PriorityQueue<Packet> packets =
            new PriorityQueue<>(
                    Comparator.comparingLong(Packet::dueMs).thenComparingLong(Packet::sequence));
    private final Set<NodeId> cutOff = new HashSet<>();
    private final Set<Set<NodeId>> cutLinks = new HashSet<>();
    private double lossRate;
    private long sequence;

    /** Holds a message on its way. */
    record Packet(long dueMs, long sequence, NodeId from, NodeId to, byte[] message) {}

    SimulatedNetwork(RandomGenerator random) {
        this.random = random;
    }

    void setLossRate(double lossRate) {
        this.lossRate = lossRate;
    }

    void cutOff(Set<NodeId> nodes) {
        cutLinks.clear();
        cutOff.clear();
        cutOff.addAll(nodes);
    }

    void cutLink(NodeId one, NodeId other) {
        cutLinks.add(Set.of(one, other));
    }

    private boolean isCut(Packet packet) {
        return cutOff.contains(packet.from()) != cutOff.contains(packet.to())
                || cutLinks.contains(Set.of(packet.from(), packet.to()));
    }

    void send(long nowMs, NodeId from, NodeId to, byte[] message) {
        int copies = random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean isSlow = lossRate > 0 && random.nextInt(30) == 0;
            long delayMs = random.nextInt(isSlow ? LONG_DELAY_MS : USUAL_DELAY_MS);
            packets.add(new Packet(nowMs + delayMs, sequence++, from, to, message));
        }
    }

    List<Packet> takeDue(long nowMs) {
        List<Packet> due = new ArrayList<>();
        while (!packets.isEmpty() && packets.peek().dueMs() <= nowMs) {
            Packet packet = packets.poll();
            if (!isCut(packet) && random.nextDouble() >= lossRate) {
                due.add(packet);
            }
        }
        return due;
    }
}
