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
    static final Duration INTERVAL = Duration.ofMillis(250);

    /** A leader in reach answers within a few milliseconds; a pause for collection takes longer. */
    static final Duration TIMEOUT = Duration.ofMillis(600);

    private static final Duration RETRY_PAUSE = Duration.ofMillis(50);

    private final PeerTransport transport;
    private final ViewFollower follower;
    private final ViewLease lease;
    private final ScheduledExecutorService executor;
    private final TimeSource timeSource;
    private final Consumer<ViewRequest.Builder> reporter;
    private final Consumer<GatewayView> listener;
    private final NodeAddresses addresses;
    private final Set<NodeId> controlNodes = new LinkedHashSet<>();
    private Optional<NodeId> leader = Optional.empty();
    private int nextNode;
    private boolean wasInTouch;

    /** Makes a node reachable for the transport. */
    @FunctionalInterface
    public interface NodeAddresses {

        /**
         * Tells the transport where a node listens.
         *
         * @param node the node
         */
        void makeReachable(NodeId node);
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
            NodeAddresses addresses,
            List<NodeId> seeds,
            ViewFollower follower,
            ViewLease lease,
            ScheduledExecutorService executor,
            TimeSource timeSource,
            Consumer<ViewRequest.Builder> reporter,
            Consumer<GatewayView> listener) {
        this.transport = transport;
        this.addresses = addresses;
        this.follower = follower;
        this.lease = lease;
        this.executor = executor;
        this.timeSource = timeSource;
        this.reporter = reporter;
        this.listener = listener;
        seeds.forEach(this::addControlNode);
    }

    /** Begins to ask. */
    public void start() {
        executor.execute(this::ask);
    }

    /**
     * Returns the node that answered last.
     *
     * @return the leader, or empty while none is known
     */
    public Optional<NodeId> leader() {
        return leader;
    }

    private void ask() {
        NodeId target = leader.orElseGet(this::chooseNext);
        ViewRequest.Builder request = ViewRequest.newBuilder();
        follower.describe(request);
        reporter.accept(request);
        long sentMs = timeSource.monotonicMs();
        transport
                .request(target, ViewServer.TOPIC, request.build().toByteArray(), TIMEOUT)
                .whenCompleteAsync(
                        (payload, failure) -> conclude(target, sentMs, payload, failure), executor);
    }

    private void conclude(NodeId target, long sentMs, byte[] payload, Throwable failure) {
        Duration pause = RETRY_PAUSE;
        try {
            if (failure != null) {
                giveUp(target, String.valueOf(failure.getMessage()));
            } else {
                pause = take(target, sentMs, ViewResponse.parseFrom(payload));
            }
        } catch (InvalidProtocolBufferException | MalformedMessageException e) {
            LOGGER.atError()
                    .addKeyValue("node", target)
                    .log("unusable view: run one release on all nodes", e);
            giveUp(target, "unusable answer");
            pause = INTERVAL;
        } catch (RuntimeException e) {
            LOGGER.error("taking a view in failed", e);
            pause = INTERVAL;
        }
        executor.schedule(this::ask, pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    private Duration take(NodeId target, long sentMs, ViewResponse response)
            throws MalformedMessageException {
        if (!response.getRefusal().isEmpty()) {
            giveUp(target, response.getRefusal());
            if (!response.getLeader().isEmpty()) {
                leader = Optional.of(addControlNode(new NodeId(response.getLeader())));
            }
            return RETRY_PAUSE;
        }
        leader = Optional.of(target);
        response.getControlNodesList().forEach(node -> addControlNode(new NodeId(node)));
        if (!follower.accept(response)) {
            giveUp(target, "its state is older than this node's view");
            return RETRY_PAUSE;
        }
        lease.renew(sentMs);
        if (!wasInTouch) {
            wasInTouch = true;
            LOGGER.atInfo()
                    .addKeyValue("leader", target)
                    .addKeyValue("revision", follower.view().revision())
                    .log("control nodes answer");
        }
        listener.accept(follower.view());
        return INTERVAL;
    }

    private void giveUp(NodeId target, String reason) {
        leader = Optional.empty();
        if (wasInTouch && !lease.isHeld()) {
            wasInTouch = false;
            LOGGER.atWarn()
                    .addKeyValue("node", target)
                    .addKeyValue("viewAgeMs", lease.ageMs())
                    .addKeyValue("reason", reason)
                    .log("no control node has confirmed the view in time");
        }
    }

    private NodeId chooseNext() {
        List<NodeId> nodes = new ArrayList<>(controlNodes);
        return nodes.get(Math.floorMod(nextNode++, nodes.size()));
    }

    private NodeId addControlNode(NodeId node) {
        if (controlNodes.add(node)) {
            addresses.makeReachable(node);
        }
        return node;
    }
}
