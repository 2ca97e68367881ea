package org.cardamomthread.daemon.view;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.daemon.view.generated.ViewResponse;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the leader of the control nodes for the view, again and again.
 *
 * <p>Follows hints to the leader and goes from one control node to the next while none answers. All
 * state is used on one executor, on which the listeners run too.
 */
public final class ViewClient {

    private static final Logger LOGGER = LoggerFactory.getLogger(ViewClient.class);

    /** A change reaches all gateways within two of these and the delays of the network. */
    static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    /** A leader in reach answers within a few milliseconds; a pause for collection takes longer. */
    static final Duration REQUEST_TIMEOUT = Duration.ofMillis(600);

    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    private final PeerTransport transport;
    private final ViewUpdater updater;
    private final ViewLease lease;
    private final ScheduledExecutorService executor;
    private final TimeSource timeSource;
    private final Consumer<ViewRequest.Builder> reportWriter;
    private final Consumer<GatewayView> viewListener;
    private final AddressRegistrar addressRegistrar;
    private final Set<NodeId> controlNodes = new LinkedHashSet<>();
    private Optional<NodeId> leader = Optional.empty();
    private int nextNodeIndex;
    private boolean isConnected;

    /** Makes a node reachable for the transport. */
    @FunctionalInterface
    public interface AddressRegistrar {

        /**
         * Tells the transport where a node listens.
         *
         * @param node the node
         */
        void register(NodeId node);
    }

    /**
     * Creates a client.
     *
     * @param transport the links to control nodes
     * @param addresses makes control nodes reachable
     * @param seeds control nodes to begin with
     * @param follower builds the view up
     * @param lease is renewed by each answer
     * @param executor runs everything
     * @param timeSource the clock
     * @param reporter adds this gateway's report to a request
     * @param listener receives each new view
     */
    public ViewClient(
            PeerTransport transport,
            AddressRegistrar addresses,
            List<NodeId> seeds,
            ViewUpdater follower,
            ViewLease lease,
            ScheduledExecutorService executor,
            TimeSource timeSource,
            Consumer<ViewRequest.Builder> reporter,
            Consumer<GatewayView> listener) {
        this.transport = transport;
        this.addressRegistrar = addresses;
        this.updater = follower;
        this.lease = lease;
        this.executor = executor;
        this.timeSource = timeSource;
        this.reportWriter = reporter;
        this.viewListener = listener;
        seeds.forEach(this::addControlNode);
    }

    /** Begins to ask. */
    public void start() {
        executor.execute(this::poll);
    }

    /**
     * Returns the node that answered last.
     *
     * @return the leader, or empty while none is known
     */
    public Optional<NodeId> leader() {
        return leader;
    }

    private void poll() {
        NodeId target = leader.orElseGet(this::nextControlNode);
        ViewRequest.Builder request = ViewRequest.newBuilder();
        updater.addKnownRevisions(request);
        reportWriter.accept(request);
        long sentMs = timeSource.monotonicMs();
        transport
                .request(target, ViewServer.TOPIC, request.build().toByteArray(), REQUEST_TIMEOUT)
                .whenCompleteAsync(
                        (payload, failure) -> handleResult(target, sentMs, payload, failure),
                        executor);
    }

    private void handleResult(NodeId target, long sentMs, byte[] payload, Throwable failure) {
        Duration pause = RETRY_DELAY;
        try {
            if (failure != null) {
                handleFailure(target, String.valueOf(failure.getMessage()));
            } else {
                pause = handleResponse(target, sentMs, ViewResponse.parseFrom(payload));
            }
        } catch (InvalidProtocolBufferException | MalformedMessageException e) {
            LOGGER.atError()
                    .addKeyValue("node", target)
                    .log("unusable view: run one release on all nodes", e);
            handleFailure(target, "unusable answer");
            pause = POLL_INTERVAL;
        } catch (RuntimeException e) {
            LOGGER.error("taking a view in failed", e);
            pause = POLL_INTERVAL;
        }
        executor.schedule(this::poll, pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    private Duration handleResponse(NodeId target, long sentMs, ViewResponse response)
            throws MalformedMessageException {
        if (!response.getRefusal().isEmpty()) {
            handleFailure(target, response.getRefusal());
            if (!response.getLeader().isEmpty()) {
                leader = Optional.of(addControlNode(new NodeId(response.getLeader())));
            }
            return RETRY_DELAY;
        }
        leader = Optional.of(target);
        response.getControlNodesList().forEach(node -> addControlNode(new NodeId(node)));
        if (!updater.apply(response)) {
            handleFailure(target, "its state is older than this node's view");
            return RETRY_DELAY;
        }
        lease.renew(sentMs);
        if (!isConnected) {
            isConnected = true;
            LOGGER.atInfo()
                    .addKeyValue("leader", target)
                    .addKeyValue("revision", updater.view().revision())
                    .log("control nodes answer");
        }
        viewListener.accept(updater.view());
        return POLL_INTERVAL;
    }

    private void handleFailure(NodeId target, String reason) {
        leader = Optional.empty();
        if (isConnected && !lease.isHeld()) {
            isConnected = false;
            LOGGER.atWarn()
                    .addKeyValue("node", target)
                    .addKeyValue("viewAgeMs", lease.ageMs())
                    .addKeyValue("reason", reason)
                    .log("no control node has confirmed the view in time");
        }
    }

    private NodeId nextControlNode() {
        List<NodeId> nodes = new ArrayList<>(controlNodes);
        return nodes.get(Math.floorMod(nextNodeIndex++, nodes.size()));
    }

    private NodeId addControlNode(NodeId node) {
        if (controlNodes.add(node)) {
            addressRegistrar.register(node);
        }
        return node;
    }
}
