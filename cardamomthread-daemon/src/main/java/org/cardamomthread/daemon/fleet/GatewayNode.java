package org.cardamomthread.daemon.fleet;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.AfterPendingReads;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dispatch.AsyncEndpointClient;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.forwarding.Forwarder;
import org.cardamomthread.daemon.forwarding.ForwardingLimits;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.HttpServer;
import org.cardamomthread.daemon.http.ListenerBindException;
import org.cardamomthread.daemon.http.ServerResponse;
import org.cardamomthread.daemon.start.StartableNode;
import org.cardamomthread.daemon.telemetry.NodeForwardingMetrics;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.QuotaPoolClient;
import org.cardamomthread.daemon.view.TrialClient;
import org.cardamomthread.daemon.view.ViewClient;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.daemon.view.ViewUpdater;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.policy.placement.DataCentreMargin;
import org.cardamomthread.transport.TransportStartException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Assembles and runs a gateway. Thread-safe. */
final class GatewayNode implements StartableNode {

    private static final Logger LOGGER = LoggerFactory.getLogger(GatewayNode.class);

    /**
     * Far longer than a round trip within a region, and short compared with the time limit of a
     * request.
     */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

    /** Time for the platform to detect that the gateway is not ready: two readiness checks. */
    private static final long UNREADY_PERIOD_MS = 2_500;

    /** Part of the platform's shutdown timeout that is reserved for closing. */
    private static final long CLOSE_RESERVE_MS = 700;

    private static final long DRAIN_POLL_INTERVAL_MS = 20;

    /** Time to write the responses to requests that are ended because the gateway stops. */
    private static final long FINAL_RESPONSE_PERIOD_MS = 200;

    private final NodeComponents components;
    private final PlatformDialect dialect;
    private final EventLoop eventLoop;
    private final EndpointClient client;
    private final ViewLease viewLease;
    private final Forwarder forwarder;
    private final ViewClient viewClient;
    private final HttpServer callerServer;
    private final HttpServer readinessServer;
    private final HttpServer metricsServer;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private volatile boolean hasView;

    GatewayNode(NodeComponents components, PlatformDialect dialect) {
        this.components = components;
        this.dialect = dialect;
        FleetSettings settings = components.settings();
        TimeSource timeSource = components.timeSource();
        eventLoop = (EventLoop) components.eventLoops().next();
        client = new AsyncEndpointClient(components.eventLoops(), timeSource, CONNECT_TIMEOUT);
        viewLease = new ViewLease(timeSource, settings.limits().viewLeaseMs());
        forwarder =
                new Forwarder(
                        new Forwarder.Dependencies(
                                dialect,
                                client,
                                eventLoop,
                                new AfterPendingReads(eventLoop),
                                timeSource,
                                settings.dataCentre(),
                                new DataCentreMargin(settings.limits().dataCentreMarginMs()),
                                viewLease,
                                new QuotaPoolClient(
                                        components.transport(),
                                        this::leader,
                                        eventLoop,
                                        timeSource),
                                new TrialClient(components.transport(), this::leader, eventLoop),
                                createLimits(settings.limits()),
                                components.log(),
                                new NodeForwardingMetrics(components.metrics()),
                                components.random().split()));
        viewClient =
                new ViewClient(
                        components.transport(),
                        node ->
                                ControlNodeDirectory.registerAddress(
                                        components.transport(), node, settings.peerPort()),
                        settings.seedNodes(),
                        new ViewUpdater(dialect, timeSource),
                        viewLease,
                        eventLoop,
                        timeSource,
                        components.random().split(),
                        this::addReport,
                        this::applyView);
        callerServer = components.createHttpServer("callers", forwarder.getHandler());
        readinessServer = components.createHttpServer("readiness", this::handleReadiness);
        metricsServer = components.createMetricsServer();
        components
                .metrics()
                .registerGauge(
                        "cardamomthread_view_age_seconds",
                        "Time since the leader confirmed the view",
                        () -> viewLease.ageMs() / 1_000.0);
        components
                .metrics()
                .registerGauge(
                        "cardamomthread_view_document_failures",
                        "Parts of traffic documents that were lost or unusable since the start",
                        viewClient::documentFailures);
    }

    @Override
    public void start() throws ListenerBindException, TransportStartException {
        FleetSettings settings = components.settings();
        components.transport().bind();
        callerServer.bind(requireAddress(settings.callers()).toSocketAddress());
        readinessServer.bind(requireAddress(settings.readiness()).toSocketAddress());
        metricsServer.bind(settings.metrics().toSocketAddress());
        components.transport().start();
        viewClient.start();
        callerServer.startAccepting();
        readinessServer.startAccepting();
        metricsServer.startAccepting();
        LOGGER.atInfo()
                .addKeyValue("event", "node-started")
                .addKeyValue("node", settings.nodeId())
                .addKeyValue("name", settings.nodeName())
                .addKeyValue("dataCentre", settings.dataCentre())
                .addKeyValue("seeds", settings.seedNodes())
                .log(
                        "gateway started, listening for clients on {}",
                        settings.callers().orElseThrow());
    }

    @Override
    public boolean stopGracefully() {
        long startMs = components.timeSource().monotonicMs();
        long endMs =
                startMs + components.settings().limits().shutdownTimeoutMs() - CLOSE_RESERVE_MS;
        stopping.set(true);
        callerServer.startDraining();
        eventLoop.execute(() -> forwarder.stopAt(endMs));
        LOGGER.atInfo()
                .addKeyValue("event", "node-stopping")
                .addKeyValue("requests", callerServer.getRequestsInProgress())
                .log("gateway is stopping; waiting for open requests");
        sleepUntil(startMs + UNREADY_PERIOD_MS);
        eventLoop.execute(() -> forwarder.stopAt(components.timeSource().monotonicMs()));
        callerServer.closeIdleConnections();
        awaitOpenRequests(endMs);
        int openRequests = callerServer.getRequestsInProgress();
        if (openRequests > 0) {
            eventLoop.execute(forwarder::endOpenRequests);
            awaitOpenRequests(endMs + FINAL_RESPONSE_PERIOD_MS);
        }
        LOGGER.atInfo()
                .addKeyValue("event", "node-stopped")
                .addKeyValue("openRequests", openRequests)
                .log("gateway stopped");
        close();
        return openRequests == 0;
    }

    @Override
    public void close() {
        for (HttpServer server : List.of(callerServer, readinessServer, metricsServer)) {
            server.close();
        }
        client.close();
        components.close();
    }

    private Optional<NodeId> leader() {
        return viewClient.leader();
    }

    private void addReport(ViewRequest.Builder request) {
        request.setDataCentre(components.settings().dataCentre().value())
                .setIncarnation(components.incarnation());
        forwarder.addReport(request);
    }

    private void applyView(GatewayView view) {
        forwarder.applyView(view);
        hasView = view.routes().isPresent();
    }

    private void handleReadiness(HttpExchange exchange) {
        boolean isReadinessPath = exchange.getRequest().path().equals(dialect.readinessPath());
        if (!isReadinessPath) {
            exchange.respond(ServerResponse.createText(404, "no such call\n"));
            return;
        }
        boolean isReady = hasView && viewLease.isHeld() && !stopping.get();
        exchange.respond(
                isReady
                        ? ServerResponse.createText(200, "ready\n")
                        : ServerResponse.createText(503, "not ready\n"));
    }

    private void awaitOpenRequests(long untilMs) {
        while (callerServer.getRequestsInProgress() > 0
                && components.timeSource().monotonicMs() < untilMs) {
            sleep(DRAIN_POLL_INTERVAL_MS);
        }
    }

    private void sleepUntil(long untilMs) {
        long remainingMs = untilMs - components.timeSource().monotonicMs();
        if (remainingMs > 0) {
            sleep(remainingMs);
        }
    }

    private static ForwardingLimits createLimits(FleetLimits limits) {
        return new ForwardingLimits(
                limits.retryRatio(),
                limits.retryAllowance(),
                limits.retryWindowS(),
                limits.quotaAllocation(),
                limits.usageWindowS(),
                limits.canaryAllocation(),
                limits.waitingLimits());
    }

    private static NetworkAddress requireAddress(Optional<NetworkAddress> address) {
        return address.orElseThrow(
                () ->
                        new IllegalStateException(
                                "the listen address is missing although the"
                                        + " settings were validated for the role"));
    }

    private static void sleep(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
