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
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.daemon.view.generated.ViewResponse;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the leader of the control nodes for the view.
 *
 * <p>Invariant: the view lease is renewed only as of the sending of a request whose response named
 * the traffic document that the view contains as the newest. A new document is fetched in parts
 * besides the polls, which apply everything else meanwhile.
 *
 * <p>Follows leader hints, and tries the known control nodes in turn while none responds as the
 * leader. A refusal adds the nodes that it names, and some time without a leader adds the seeds
 * again, so that a client never depends on nodes that are all gone. Polling continues after any
 * error. All state is confined to one executor, on which the listeners run too.
 */
public final class ViewClient {

    private static final Logger LOGGER = LoggerFactory.getLogger(ViewClient.class);

    /**
     * Time between polls; a change reaches all gateways within two intervals plus the network
     * delay.
     */
    static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    /**
     * Timeout of a poll; a reachable leader responds within a few milliseconds, but a garbage
     * collection pause takes longer.
     */
    static final Duration REQUEST_TIMEOUT = Duration.ofMillis(600);

    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    /** Time without a leader, longer than an election, after which the seeds are asked as well. */
    static final Duration SEED_RETURN_PERIOD = Duration.ofSeconds(3);

    private final PeerTransport transport;
    private final ViewUpdater updater;
    private final ViewLease viewLease;
    private final ScheduledExecutorService executor;
    private final TimeSource timeSource;
    private final Consumer<ViewRequest.Builder> reportWriter;
    private final Consumer<GatewayView> viewListener;
    private final AddressRegistrar addressRegistrar;
    private final DocumentClient documentClient;
    private final List<NodeId> seeds;
    private final Set<NodeId> controlNodes = new LinkedHashSet<>();
    private Optional<NodeId> leader = Optional.empty();
    private int nextNodeIndex;
    private long leaderSeenMs;
    private boolean isConnected;

    /** Registers the network addresses of control nodes with the transport. */
    @FunctionalInterface
    public interface AddressRegistrar {

        /**
         * Registers the address on which a node listens.
         *
         * @param node the control node
         */
        void register(NodeId node);
    }

    /**
     * Creates a client, which starts polling with {@link #start}.
     *
     * @param transport sends the requests to control nodes
     * @param addressRegistrar registers the addresses of control nodes that become known
     * @param seeds the control nodes known at the start, at least one
     * @param updater applies the responses to the view
     * @param viewLease is renewed by each response that confirms the view and its document
     * @param executor runs all methods and callbacks
     * @param timeSource supplies monotonic time
     * @param random draws the control nodes that documents are fetched from
     * @param reportWriter adds this gateway's report to a request
     * @param viewListener receives the view after each response and each new document
     */
    public ViewClient(
            PeerTransport transport,
            AddressRegistrar addressRegistrar,
            List<NodeId> seeds,
            ViewUpdater updater,
            ViewLease viewLease,
            ScheduledExecutorService executor,
            TimeSource timeSource,
            RandomGenerator random,
            Consumer<ViewRequest.Builder> reportWriter,
            Consumer<GatewayView> viewListener) {
        this.transport = transport;
        this.addressRegistrar = addressRegistrar;
        this.seeds = List.copyOf(seeds);
        this.updater = updater;
        this.viewLease = viewLease;
        this.executor = executor;
        this.timeSource = timeSource;
        this.reportWriter = reportWriter;
        this.viewListener = viewListener;
        leaderSeenMs = timeSource.monotonicMs();
        documentClient = new DocumentClient(transport, executor, random, this::applyDocument);
        seeds.forEach(this::addControlNode);
    }

    /** Starts polling. */
    public void start() {
        executor.execute(this::poll);
    }

    /**
     * Returns the control node that currently acts as leader.
     *
     * @return the leader, or empty while none is known
     */
    public Optional<NodeId> leader() {
        return leader;
    }

    /**
     * Returns how often a part of a traffic document was lost or unusable. Thread-safe.
     *
     * @return the number since the start
     */
    public long documentFailures() {
        return documentClient.failures();
    }

    private void poll() {
        try {
            sendRequest();
        } catch (RuntimeException | Error e) {
            LOGGER.error("asking for the view failed", e);
            scheduleNextPoll(POLL_INTERVAL);
        }
    }

    private void sendRequest() {
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

    private void scheduleNextPoll(Duration delay) {
        executor.schedule(this::poll, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void handleResult(NodeId target, long sentMs, byte[] payload, Throwable failure) {
        Duration delay = RETRY_DELAY;
        try {
            if (failure != null) {
                handleFailure(target, String.valueOf(failure.getMessage()));
            } else {
                delay = handleResponse(target, sentMs, ViewResponse.parseFrom(payload));
            }
        } catch (InvalidProtocolBufferException e) {
            LOGGER.atError()
                    .addKeyValue("node", target)
                    .log("received an unreadable view: run the same release on all nodes", e);
            handleFailure(target, "unreadable response");
            delay = POLL_INTERVAL;
        } catch (RuntimeException | Error e) {
            LOGGER.error("applying a view failed", e);
            delay = POLL_INTERVAL;
        }
        scheduleNextPoll(delay);
    }

    private Duration handleResponse(NodeId target, long sentMs, ViewResponse response) {
        if (!response.getRefusal().isEmpty()) {
            handleFailure(target, response.getRefusal());
            response.getControlNodesList().forEach(node -> addControlNode(new NodeId(node)));
            if (!response.getLeader().isEmpty()) {
                leader = Optional.of(addControlNode(new NodeId(response.getLeader())));
            }
            return RETRY_DELAY;
        }
        leader = Optional.of(target);
        leaderSeenMs = timeSource.monotonicMs();
        replaceControlNodes(response.getControlNodesList().stream().map(NodeId::new).toList());
        if (!updater.apply(response)) {
            handleFailure(
                    target, "its traffic state or document is older than the view of this gateway");
            return RETRY_DELAY;
        }
        if (updater.holdsNewestDocument()) {
            documentClient.stop();
            renewLease(sentMs);
        } else {
            documentClient.fetch(
                    target, List.copyOf(controlNodes), updater.newestDocumentVersion(), sentMs);
            checkLease(target, "the newest traffic document has not arrived");
        }
        viewListener.accept(updater.view());
        return POLL_INTERVAL;
    }

    private void applyDocument(long version, byte[] document, long confirmedMs)
            throws MalformedMessageException {
        updater.applyDocument(version, document);
        LOGGER.atInfo()
                .addKeyValue("event", "document-received")
                .addKeyValue("documentVersion", version)
                .addKeyValue("revision", updater.view().revision())
                .addKeyValue("durationMs", timeSource.monotonicMs() - confirmedMs)
                .log("received a traffic document");
        renewLease(confirmedMs);
        viewListener.accept(updater.view());
    }

    private void renewLease(long sentMs) {
        viewLease.renew(sentMs);
        if (!isConnected) {
            isConnected = true;
            LOGGER.atInfo()
                    .addKeyValue("leader", leader.map(NodeId::value).orElse("not known"))
                    .addKeyValue("revision", updater.view().revision())
                    .log("connected to the leader of the control nodes");
        }
    }

    private void handleFailure(NodeId target, String reason) {
        leader = Optional.empty();
        checkLease(target, reason);
    }

    private void checkLease(NodeId target, String reason) {
        if (isConnected && !viewLease.isHeld()) {
            isConnected = false;
            LOGGER.atWarn()
                    .addKeyValue("node", target)
                    .addKeyValue("viewAgeMs", viewLease.ageMs())
                    .addKeyValue("reason", reason)
                    .log(
                            "no control node has confirmed the view in time; requests with a key"
                                    + " are rejected");
        }
    }

    private NodeId nextControlNode() {
        if (timeSource.monotonicMs() - leaderSeenMs >= SEED_RETURN_PERIOD.toMillis()) {
            seeds.forEach(this::addControlNode);
        }
        List<NodeId> nodes = new ArrayList<>(controlNodes);
        return nodes.get(Math.floorMod(nextNodeIndex++, nodes.size()));
    }

    /** Forgets nodes that the leader no longer knows, since each attempt at one takes a timeout. */
    private void replaceControlNodes(List<NodeId> nodes) {
        if (!nodes.isEmpty()) {
            controlNodes.retainAll(nodes);
        }
        nodes.forEach(this::addControlNode);
    }

    private NodeId addControlNode(NodeId node) {
        if (controlNodes.add(node)) {
            addressRegistrar.register(node);
        }
        return node;
    }
}
