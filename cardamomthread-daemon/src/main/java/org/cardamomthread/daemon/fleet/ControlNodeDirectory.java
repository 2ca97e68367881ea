package org.cardamomthread.daemon.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentSkipListMap;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.control.VoterDirectory;
import org.cardamomthread.daemon.view.generated.VotersRequest;
import org.cardamomthread.daemon.view.generated.VotersResponse;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.ReplicaMember;
import org.cardamomthread.replication.ReplicationStatus;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks the known control nodes: the seeds, and the nodes that have announced themselves since.
 *
 * <p>Control nodes poll each other in turn. This distributes their addresses and the current
 * voters.
 *
 * <p>Invariant: a node passes voters on only if it hears the leader, or belongs to the first voters
 * and the group has not been formed yet; so voters that have been replaced are forgotten.
 * Thread-safe.
 */
final class ControlNodeDirectory implements VoterDirectory {

    static final PeerTopic TOPIC = new PeerTopic(21, "control-nodes");

    /**
     * Limits the traffic to one request per second and node, independent of the number of nodes.
     */
    private static final long POLL_INTERVAL_MS = 1_000;

    /**
     * Interval while no voters are known: a node with an empty folder has to ask its way to a
     * member of the group, which none of its seeds need be, before it can join.
     */
    private static final long SEARCH_INTERVAL_MS = 250;

    /** Time without contact after which a control node is considered removed. */
    private static final long RETENTION_MS = 30_000;

    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(800);
    private static final Logger LOGGER = LoggerFactory.getLogger(ControlNodeDirectory.class);

    private final FleetSettings settings;
    private final PeerTransport transport;
    private final TimeSource timeSource;
    private final Map<NodeId, Long> lastSeenMs = new ConcurrentSkipListMap<>();
    private volatile List<NodeId> voters = List.of();
    private volatile boolean mayPassVotersOn;
    private volatile VoterListener voterListener = learntVoters -> {};
    private int nextIndex;

    /** Is notified of voters on the control thread. */
    @FunctionalInterface
    interface VoterListener {

        /**
         * Uses the voters that another node named. If this fails, it is called again with the next
         * response.
         */
        void onVotersLearnt(List<NodeId> learntVoters);
    }

    ControlNodeDirectory(FleetSettings settings, PeerTransport transport, TimeSource timeSource) {
        this.settings = settings;
        this.transport = transport;
        this.timeSource = timeSource;
        settings.seedNodes().forEach(this::add);
    }

    /** Starts to poll; the listener is called whenever other nodes name other voters. */
    void start(ControlThread controlThread, VoterListener listener) {
        voterListener = listener;
        transport.register(TOPIC, this::handleRequest);
        controlThread.execute(() -> pollNextNode(controlThread));
        controlThread.scheduleWithFixedDelay(POLL_INTERVAL_MS, () -> pollNextNode(controlThread));
        controlThread.scheduleWithFixedDelay(SEARCH_INTERVAL_MS, () -> searchVoters(controlThread));
    }

    /** Sets the voters that the data folder names, before the state of the replica is known. */
    void setVoters(List<NodeId> currentVoters) {
        voters = List.copyOf(currentVoters);
        currentVoters.forEach(this::add);
    }

    /** Takes over the voters that this node's replica knows. */
    void update(ReplicationStatus status) {
        boolean isFormed = status.lastIndex() > 0;
        if (status.leader().isPresent() && isFormed) {
            List<NodeId> current =
                    status.members().stream()
                            .filter(ReplicaMember::isVoter)
                            .map(ReplicaMember::nodeId)
                            .distinct()
                            .sorted()
                            .toList();
            if (!current.equals(voters)) {
                LOGGER.atInfo()
                        .addKeyValue("event", "voters-changed")
                        .addKeyValue("voters", current)
                        .addKeyValue("before", voters)
                        .log("the voters of the replication group have changed");
                setVoters(current);
            }
            mayPassVotersOn = true;
        } else {
            mayPassVotersOn = !isFormed && voters.contains(settings.nodeId());
        }
    }

    @Override
    public List<NodeId> voters(GroupId group) {
        return voters;
    }

    @Override
    public void recordContact(NodeId node) {
        if (!lastSeenMs.containsKey(node)) {
            add(node);
        }
    }

    /** Returns the other known control nodes. */
    List<NodeId> otherNodes() {
        return lastSeenMs.keySet().stream()
                .filter(node -> !node.equals(settings.nodeId()))
                .toList();
    }

    /** Returns the known control nodes, including this one; those that vote come first. */
    List<NodeId> allNodes() {
        Set<NodeId> nodes = new LinkedHashSet<>(voters);
        nodes.addAll(lastSeenMs.keySet());
        nodes.add(settings.nodeId());
        return List.copyOf(nodes);
    }

    /** Registers the address on which a node listens with the transport. */
    static void registerAddress(PeerTransport transport, NodeId node, int peerPort) {
        InetSocketAddress address = new NetworkAddress(node.value(), peerPort).toSocketAddress();
        transport.setAddress(node, address);
    }

    private void add(NodeId node) {
        boolean isNew = lastSeenMs.put(node, timeSource.monotonicMs()) == null;
        if (isNew && !node.equals(settings.nodeId())) {
            registerAddress(transport, node, settings.peerPort());
            LOGGER.atInfo().addKeyValue("node", node).log("discovered a control node");
        }
    }

    private void pollNextNode(ControlThread controlThread) {
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
                                controlThread.execute(() -> handleResponse(target, payload));
                            }
                        });
    }

    private void searchVoters(ControlThread controlThread) {
        if (voters.isEmpty()) {
            pollNextNode(controlThread);
        }
    }

    private void removeStaleNodes() {
        long oldestMs = timeSource.monotonicMs() - RETENTION_MS;
        List<NodeId> retained = voters.isEmpty() ? settings.seedNodes() : voters;
        lastSeenMs
                .entrySet()
                .removeIf(
                        entry -> entry.getValue() < oldestMs && !retained.contains(entry.getKey()));
    }

    private void handleResponse(NodeId from, byte[] payload) {
        VotersResponse response;
        try {
            response = VotersResponse.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            LOGGER.error(
                    "node {} sent an unreadable response: run the same release on all nodes",
                    from,
                    e);
            return;
        }
        add(from);
        for (String name : response.getControlNodesList()) {
            NodeId node = new NodeId(name);
            if (!lastSeenMs.containsKey(node)) {
                add(node);
            }
        }
        if (!mayPassVotersOn && response.getVotersCount() > 0) {
            List<NodeId> learntVoters = response.getVotersList().stream().map(NodeId::new).toList();
            if (!learntVoters.equals(voters)) {
                learntVoters.forEach(this::add);
                voterListener.onVotersLearnt(learntVoters);
                setVoters(learntVoters);
            }
        }
    }

    private CompletionStage<byte[]> handleRequest(NodeId from, byte[] payload) {
        VotersResponse.Builder response = VotersResponse.newBuilder();
        try {
            if (VotersRequest.parseFrom(payload).getIsControl()) {
                add(from);
            }
        } catch (InvalidProtocolBufferException e) {
            LOGGER.error(
                    "node {} sent an unreadable request: run the same release on all nodes",
                    from,
                    e);
        }
        if (mayPassVotersOn) {
            voters.forEach(node -> response.addVoters(node.value()));
        }
        allNodes().forEach(node -> response.addControlNodes(node.value()));
        return CompletableFuture.completedFuture(response.build().toByteArray());
    }
}
