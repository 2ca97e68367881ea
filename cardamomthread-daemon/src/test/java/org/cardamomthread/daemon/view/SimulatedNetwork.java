package org.cardamomthread.daemon.view;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.testing.VirtualExecutor;
import org.cardamomthread.transport.PeerHandler;
import org.cardamomthread.transport.PeerOutcomeUnknownException;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.cardamomthread.transport.TransportStatus;

/**
 * Carries messages over links of limited rate in virtual time.
 *
 * <p>Each node has one link per direction, on which messages wait for the ones before them, and one
 * processor for the requests that it receives. Bytes of a response whose requester has given up are
 * still sent, as by a connection that stays open. Not thread-safe.
 */
final class SimulatedNetwork {

    private static final long LATENCY_US = 1_400;
    private static final int OVERHEAD_BYTES = 120;
    private static final double PROCESSOR_US_PER_REQUEST = 300;
    private static final double PROCESSOR_US_PER_BYTE = 0.01;
    private static final double BITS_PER_BYTE = 8;

    private final VirtualExecutor executor;
    private final Map<NodeId, Station> stations = new HashMap<>();
    private ResponseFilter filter = (from, topic, payload) -> payload;

    /** Changes or drops responses on their way. */
    @FunctionalInterface
    interface ResponseFilter {

        /** Returns the payload that arrives, or null if none does. */
        byte[] apply(NodeId from, PeerTopic topic, byte[] payload);
    }

    /** One node with its links and its processor. */
    private static final class Station {
        private final double bitsPerUs;
        private final Map<PeerTopic, PeerHandler> handlers = new HashMap<>();
        private double outFreeUs;
        private double inFreeUs;
        private double processorFreeUs;
        private long sentBytes;
        private boolean isDown;

        Station(double megabitsPerS) {
            bitsPerUs = megabitsPerS;
        }
    }

    SimulatedNetwork(VirtualExecutor executor) {
        this.executor = executor;
    }

    /** Adds a node whose links have a rate in Mbit/s, and returns its transport. */
    PeerTransport addNode(NodeId node, double megabitsPerS) {
        stations.put(node, new Station(megabitsPerS));
        return new Transport(node);
    }

    void setFilter(ResponseFilter newFilter) {
        filter = newFilter;
    }

    void stop(NodeId node) {
        stations.get(node).isDown = true;
    }

    long sentBytes(NodeId node) {
        return stations.get(node).sentBytes;
    }

    private void deliver(NodeId from, NodeId to, int bytes, Runnable action) {
        Station sender = stations.get(from);
        int length = bytes + OVERHEAD_BYTES;
        sender.sentBytes += length;
        double bits = length * BITS_PER_BYTE;
        sender.outFreeUs = Math.max(sender.outFreeUs, executor.nowUs()) + bits / sender.bitsPerUs;
        at(
                sender.outFreeUs + LATENCY_US,
                () -> {
                    Station receiver = stations.get(to);
                    double transmissionUs = bits / receiver.bitsPerUs;
                    // Bits pass both links at the same time; only the slower one delays them.
                    double startUs = executor.nowUs() - bits / sender.bitsPerUs;
                    receiver.inFreeUs =
                            Math.max(
                                    Math.max(receiver.inFreeUs, startUs) + transmissionUs,
                                    executor.nowUs());
                    at(receiver.inFreeUs, action);
                });
    }

    private void process(Station station, int bytes, Runnable action) {
        station.processorFreeUs =
                Math.max(station.processorFreeUs, executor.nowUs())
                        + PROCESSOR_US_PER_REQUEST
                        + bytes * PROCESSOR_US_PER_BYTE;
        at(station.processorFreeUs, action);
    }

    private void at(double timeUs, Runnable action) {
        long delayUs = Math.max(0, Math.round(timeUs) - executor.nowUs());
        executor.schedule(action, delayUs, TimeUnit.MICROSECONDS);
    }

    /** The transport of one node. */
    private final class Transport implements PeerTransport {
        private final NodeId node;

        Transport(NodeId node) {
            this.node = node;
        }

        @Override
        public void register(PeerTopic topic, PeerHandler handler) {
            stations.get(node).handlers.put(topic, handler);
        }

        @Override
        public void setAddress(NodeId peer, InetSocketAddress address) {}

        @Override
        public void send(NodeId to, PeerTopic topic, byte[] payload) {
            deliver(
                    node,
                    to,
                    payload.length,
                    () -> {
                        Station station = stations.get(to);
                        process(
                                station,
                                payload.length,
                                () -> station.handlers.get(topic).handle(node, payload));
                    });
        }

        @Override
        public CompletableFuture<byte[]> request(
                NodeId to, PeerTopic topic, byte[] payload, Duration timeout) {
            CompletableFuture<byte[]> response = new CompletableFuture<>();
            Runnable expire =
                    () ->
                            response.completeExceptionally(
                                    new PeerOutcomeUnknownException("simulated timeout"));
            executor.schedule(expire, timeout.toMillis(), TimeUnit.MILLISECONDS);
            Station station = stations.get(to);
            deliver(
                    node,
                    to,
                    payload.length,
                    () -> {
                        if (!station.isDown) {
                            process(
                                    station,
                                    payload.length,
                                    () -> handle(station, to, topic, payload, response));
                        }
                    });
            return response;
        }

        private void handle(
                Station station,
                NodeId to,
                PeerTopic topic,
                byte[] payload,
                CompletableFuture<byte[]> response) {
            station.handlers
                    .get(topic)
                    .handle(node, payload)
                    .thenAccept(
                            answer ->
                                    process(
                                            station,
                                            answer.length,
                                            () -> respond(to, topic, answer, response)));
        }

        private void respond(
                NodeId from, PeerTopic topic, byte[] answer, CompletableFuture<byte[]> response) {
            if (stations.get(from).isDown) {
                return;
            }
            byte[] filtered = filter.apply(from, topic, answer);
            // Bytes of an abandoned response take up the links, but need not be kept.
            byte[][] held = {filtered};
            response.whenComplete((value, failure) -> held[0] = null);
            deliver(
                    from,
                    node,
                    answer.length,
                    () -> {
                        if (held[0] != null) {
                            response.complete(held[0]);
                        }
                    });
        }

        @Override
        public TransportStatus status() {
            throw new UnsupportedOperationException("no links");
        }

        @Override
        public void close() {}
    }
}
