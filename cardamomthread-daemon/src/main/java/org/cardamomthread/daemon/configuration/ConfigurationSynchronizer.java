package org.cardamomthread.daemon.configuration;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;
import org.cardamomthread.configuration.generated.ConfigurationDelta;
import org.cardamomthread.configuration.state.DeltaGapException;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.membership.node.NodeDirectory;
import org.cardamomthread.membership.node.NodeState;
import org.cardamomthread.membership.node.NodeView;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings this node to the highest configuration revision that is active on any reachable node.
 *
 * <p>Each node sends its revision in its heartbeats. A node that learns of a higher one requests
 * the delta from a node that has it, preferring its own data centre, so that a change crosses into
 * a data centre only a few times and then spreads from node to node within it. A lost message is
 * made up for by the next poll. Runs on the control thread; invariant: at most one request is
 * outstanding.
 */
public final class ConfigurationSynchronizer {

    /** The topic of requests for deltas. */
    public static final PeerTopic TOPIC = new PeerTopic(2, "configuration");

    private static final Logger LOGGER = LoggerFactory.getLogger(ConfigurationSynchronizer.class);
    private static final long POLL_INTERVAL_MS = 100;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private final ConfigurationHolder holder;
    private final NodeDirectory directory;
    private final PeerTransport transport;
    private final ControlThread control;
    private final RandomGenerator random;
    private boolean isRequestOutstanding;

    /**
     * Creates a synchronizer that does not run yet.
     *
     * @param holder the active configuration
     * @param directory the nodes and their active revisions
     * @param transport the transport to other nodes
     * @param control runs the polls and installs the responses
     * @param random chooses among the nodes that have a higher revision
     */
    public ConfigurationSynchronizer(
            ConfigurationHolder holder,
            NodeDirectory directory,
            PeerTransport transport,
            ControlThread control,
            RandomGenerator random) {
        this.holder = holder;
        this.directory = directory;
        this.transport = transport;
        this.control = control;
        this.random = random;
    }

    /** Starts to answer requests and to request missing revisions. */
    public void start() {
        transport.register(TOPIC, this::handleRequest);
        holder.addListener(
                view -> control.execute(() -> directory.setActiveRevision(view.revision())));
        control.scheduleWithFixedDelay(POLL_INTERVAL_MS, this::requestMissingRevisions);
    }

    private CompletionStage<byte[]> handleRequest(NodeId from, byte[] payload) {
        long fromRevision = ByteBuffer.wrap(payload).getLong();
        byte[] delta = holder.getView().deltaSince(fromRevision).toByteArray();
        return CompletableFuture.completedFuture(delta);
    }

    private void requestMissingRevisions() {
        long revision = holder.getView().revision();
        if (isRequestOutstanding || directory.highestRevision() <= revision) {
            return;
        }
        NodeId source = chooseSource(revision);
        if (source == null) {
            return;
        }
        isRequestOutstanding = true;
        byte[] request = ByteBuffer.allocate(Long.BYTES).putLong(revision).array();
        transport
                .request(source, TOPIC, request, REQUEST_TIMEOUT)
                .whenComplete(
                        (delta, failure) ->
                                control.execute(() -> handleResponse(source, delta, failure)));
    }

    private NodeId chooseSource(long revision) {
        List<NodeView> nodesAhead =
                directory.otherNodes().stream()
                        .filter(node -> node.state() == NodeState.ALIVE)
                        .filter(node -> node.activeRevision() > revision)
                        .sorted(Comparator.comparing(node -> node.entry().id()))
                        .toList();
        DataCentreId ownDataCentre = directory.self().dataCentre();
        List<NodeView> localNodes =
                nodesAhead.stream()
                        .filter(node -> node.entry().dataCentre().equals(ownDataCentre))
                        .toList();
        List<NodeView> candidates = localNodes.isEmpty() ? nodesAhead : localNodes;
        if (candidates.isEmpty()) {
            return null;
        }
        return candidates.get(random.nextInt(candidates.size())).entry().id();
    }

    private void handleResponse(NodeId source, byte[] delta, Throwable failure) {
        isRequestOutstanding = false;
        if (failure != null) {
            LOGGER.debug(
                    "node {} did not respond to the request for a configuration delta",
                    source,
                    failure);
            return;
        }
        try {
            if (holder.install(ConfigurationDelta.parseFrom(delta))) {
                LOGGER.info(
                        "configuration revision {} is active, received from node {}",
                        holder.getView().revision(),
                        source);
            }
        } catch (InvalidProtocolBufferException | DeltaGapException exception) {
            LOGGER.warn(
                    "node {} sent a configuration delta that is malformed or does not apply to the"
                            + " active revision",
                    source,
                    exception);
        }
    }
}
