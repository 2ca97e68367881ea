package org.cardamomthread.daemon.testing;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.transport.PeerHandler;
import org.cardamomthread.transport.PeerOutcomeUnknownException;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.cardamomthread.transport.TransportStatus;

/**
 * Simulates the messages between nodes in simulated time: each one takes a random time or is lost.
 *
 * <p>Not thread-safe.
 */
public final class LossyPeerNetwork {

    private final ManualTimeSource timeSource;
    private final Random random;
    private final int maxDelayMs;
    private final double lossRate;
    private final Map<NodeId, SimulatedTransport> transports = new HashMap<>();
    private final Set<NodeId> isolated = new HashSet<>();
    private final Queue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::dueMs).thenComparingLong(Event::number));
    private long eventCount;

    private record Event(long dueMs, long number, Runnable action) {}

    /** Creates a network in which a message takes 1 to {@code maxDelayMs} ms. */
    public LossyPeerNetwork(
            ManualTimeSource timeSource, long seed, int maxDelayMs, double lossRate) {
        this.timeSource = timeSource;
        this.random = new Random(seed);
        this.maxDelayMs = maxDelayMs;
        this.lossRate = lossRate;
    }

    /** Returns the transport of a node, without the handlers that it may have had before. */
    public PeerTransport createTransport(NodeId node) {
        SimulatedTransport transport = new SimulatedTransport(node);
        transports.put(node, transport);
        return transport;
    }

    /** Loses all messages from and to a node from now on, or delivers them again. */
    public void setIsolated(NodeId node, boolean isIsolated) {
        if (isIsolated) {
            isolated.add(node);
        } else {
            isolated.remove(node);
        }
    }

    /** Runs an action after a time. */
    public void schedule(long delayMs, Runnable action) {
        eventCount++;
        events.add(new Event(timeSource.monotonicMs() + delayMs, eventCount, action));
    }

    /** Advances the time and runs what is due. */
    public void advanceMs(long stepMs) {
        long endMs = timeSource.monotonicMs() + stepMs;
        while (!events.isEmpty() && events.peek().dueMs() <= endMs) {
            Event event = events.remove();
            timeSource.advanceMs(Math.max(0, event.dueMs() - timeSource.monotonicMs()));
            event.action().run();
        }
        timeSource.advanceMs(endMs - timeSource.monotonicMs());
    }

    private void transmit(NodeId from, NodeId to, Runnable action) {
        boolean isLost = random.nextDouble() < lossRate;
        if (!isLost && !isolated.contains(from) && !isolated.contains(to)) {
            schedule(1 + random.nextInt(maxDelayMs), action);
        }
    }

    private final class SimulatedTransport implements PeerTransport {

        private final NodeId self;
        private final Map<Integer, PeerHandler> handlers = new HashMap<>();

        SimulatedTransport(NodeId self) {
            this.self = self;
        }

        @Override
        public void register(PeerTopic topic, PeerHandler handler) {
            handlers.put(topic.number(), handler);
        }

        @Override
        public void setAddress(NodeId node, InetSocketAddress address) {
            // All nodes are reachable by their identifiers.
        }

        @Override
        public void send(NodeId to, PeerTopic topic, byte[] payload) {
            request(to, topic, payload, Duration.ofSeconds(1));
        }

        @Override
        public CompletableFuture<byte[]> request(
                NodeId to, PeerTopic topic, byte[] payload, Duration timeout) {
            CompletableFuture<byte[]> result = new CompletableFuture<>();
            schedule(
                    timeout.toMillis(),
                    () ->
                            result.completeExceptionally(
                                    new PeerOutcomeUnknownException("no response from " + to)));
            transmit(self, to, () -> deliver(to, topic, payload, result));
            return result;
        }

        private void deliver(
                NodeId to, PeerTopic topic, byte[] payload, CompletableFuture<byte[]> result) {
            SimulatedTransport receiver = transports.get(to);
            PeerHandler handler = receiver == null ? null : receiver.handlers.get(topic.number());
            if (handler != null) {
                handler.handle(self, payload)
                        .thenAccept(
                                response -> transmit(to, self, () -> result.complete(response)));
            }
        }

        @Override
        public TransportStatus status() {
            throw new UnsupportedOperationException("a simulated transport has no links");
        }

        @Override
        public void close() {
            transports.remove(self);
        }
    }
}
