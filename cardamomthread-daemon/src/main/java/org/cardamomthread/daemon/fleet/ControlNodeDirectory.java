package org.cardamomthread.daemon.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Consumer;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.view.generated.VotersRequest;
import org.cardamomthread.daemon.view.generated.VotersResponse;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Knows the control nodes: the seeds, and those that have made themselves known since.
 *
 * <p>Control nodes ask each other in turn, which spreads their addresses and tells a node with an
 * empty disk who votes. Safe for use by several threads.
 */
final class ControlNodeDirectory {

    static final PeerTopic TOPIC = new PeerTopic(21, "control-nodes");

    /** Bounds the traffic to one question a second and node, whatever the number of nodes. */
    private static final long POLL_INTERVAL_MS = 1_000;

    /** A control node that is not heard of for so long is taken for removed. */
    private static final long RETENTION_MS = 30_000;

    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(800);
    private static final Logger LOGGER = LoggerFactory.getLogger(ControlNodeDirectory.class);

    private final FleetSettings settings;
    private final PeerTransport transport;
    private final TimeSource timeSource;
    private final Map<NodeId, Long> lastSeenMs = new ConcurrentSkipListMap<>();
    private volatile Optional<List<NodeId>> voters = Optional.empty();
    private volatile Consumer<List<NodeId>> voterListener = found -> {};
    private int nextIndex;

    ControlNodeDirectory(FleetSettings settings, PeerTransport transport, TimeSource timeSource) {
        this.settings = settings;
        this.transport = transport;
        this.timeSource = timeSource;
        settings.seedNodes().forEach(this::add);
    }

    /** Begins to ask; the listener hears once of voters that were not set before. */
    void start(ControlThread control, Consumer<List<NodeId>> listener) {
        voterListener = listener;
        transport.register(TOPIC, this::handleRequest);
        control.execute(() -> pollNextNode(control));
        control.repeat(POLL_INTERVAL_MS, () -> pollNextNode(control));
    }

    void setVoters(List<NodeId> known) {
        voters = Optional.of(List.copyOf(known));
        known.forEach(this::add);
    }

    /** Lists the other control nodes known. */
    List<NodeId> otherNodes() {
        return lastSeenMs.keySet().stream()
                .filter(node -> !node.equals(settings.nodeId()))
                .toList();
    }

    /** Lists the control nodes known, this one included. */
    List<NodeId> allNodes() {
        List<NodeId> nodes = new ArrayList<>(otherNodes());
        nodes.add(settings.nodeId());
        return nodes;
    }

    /** Tells the transport where a node listens. */
    static void registerAddress(PeerTransport transport, NodeId node, int peerPort) {
        InetSocketAddress address = new NetworkAddress(node.value(), peerPort).toSocketAddress();
        transport.setAddress(node, address);
    }

    private void add(NodeId node) {
        boolean isNew = lastSeenMs.put(node, timeSource.monotonicMs()) == null;
        if (isNew && !node.equals(settings.nodeId())) {
            registerAddress(transport, node, settings.peerPort());
            LOGGER.atInfo().addKeyValue("node", node).log("control node known");
        }
    }

    private void pollNextNode(ControlThread control) {
        removeStaleNodes();
        List<NodeId> nodes = otherNodes();
        if (nodes.isEmpty()) {
            return;
        }
        NodeId target = nodes.get(Math.floorMod(nextIndex++, nodes.size()));
        VotersRequest request = VotersRequest.newBuilder().setIsControl(true).build();
        transport
                .request(target, TOPIC, request.toByteArray(), REQUEST_TIMEOUT)
                .whenComplete(
                        (payload, failure) -> {
                            if (failure == null) {
                                control.execute(() -> handleResponse(target, payload));
                            }
                        });
    }

    private void removeStaleNodes() {
        long oldestMs = timeSource.monotonicMs() - RETENTION_MS;
        List<NodeId> kept = voters.orElseGet(settings::seedNodes);
        lastSeenMs
                .entrySet()
                .removeIf(entry -> entry.getValue() < oldestMs && !kept.contains(entry.getKey()));
    }

    private void handleResponse(NodeId from, byte[] payload) {
        VotersResponse response;
        try {
            response = VotersResponse.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            LOGGER.error("node {} sent an unreadable answer: run one release", from, e);
            return;
        }
        add(from);
        for (String name : response.getControlNodesList()) {
            NodeId node = new NodeId(name);
            if (!lastSeenMs.containsKey(node)) {
                add(node);
            }
        }
        if (voters.isEmpty() && response.getVotersCount() > 0) {
            List<NodeId> found = response.getVotersList().stream().map(NodeId::new).toList();
            setVoters(found);
            voterListener.accept(found);
        }
    }

    private CompletionStage<byte[]> handleRequest(NodeId from, byte[] payload) {
        VotersResponse.Builder response = VotersResponse.newBuilder();
        try {
            if (VotersRequest.parseFrom(payload).getIsControl()) {
                add(from);
            }
        } catch (InvalidProtocolBufferException e) {
            LOGGER.error("node {} sent an unreadable question: run one release", from, e);
        }
        voters.ifPresent(known -> known.forEach(node -> response.addVoters(node.value())));
        allNodes().forEach(node -> response.addControlNodes(node.value()));
        return CompletableFuture.completedFuture(response.build().toByteArray());
    }
}
