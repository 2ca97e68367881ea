package org.cardamomthread.daemon.fleet;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dispatch.AsyncEndpointClient;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.forwarding.Forwarder;
import org.cardamomthread.daemon.forwarding.ForwardingLimits;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.HttpReply;
import org.cardamomthread.daemon.http.HttpServer;
import org.cardamomthread.daemon.http.ListenException;
import org.cardamomthread.daemon.telemetry.DefaultForwardingMetrics;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.QuotaBorrower;
import org.cardamomthread.daemon.view.ViewClient;
import org.cardamomthread.daemon.view.ViewFollower;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.transport.TransportStartException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs one gateway. Safe for use by several threads. */
final class GatewayNode implements FleetNode {

    private static final Logger LOGGER = LoggerFactory.getLogger(GatewayNode.class);

    /** Far beyond a round trip within a region, and short against a request's time limit. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

    /** Time for the platform to notice that the gateway is not ready: two of its checks. */
    private static final long UNREADY_MS = 2_500;

    /** Time kept back for closing, of what the platform allows for stopping. */
    private static final long CLOSE_RESERVE_MS = 700;

    private static final long POLL_INTERVAL_MS = 20;

    private final FleetParts parts;
    private final PlatformDialect dialect;
    private final EndpointClient client;
    private final ViewLease lease;
    private final Forwarder forwarder;
    private final ViewClient viewClient;
    private final HttpServer callers;
    private final HttpServer readiness;
    private final HttpServer metrics;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private volatile boolean hasView;

    GatewayNode(FleetParts parts, PlatformDialect dialect) {
        this.parts = parts;
        this.dialect = dialect;
        FleetSettings settings = parts.settings();
        TimeSource timeSource = parts.timeSource();
        EventLoop loop = (EventLoop) parts.eventLoops().next();
        client = new AsyncEndpointClient(parts.eventLoops(), timeSource, CONNECT_TIMEOUT);
        lease = new ViewLease(timeSource, settings.limits().viewLeaseMs());
        forwarder =
                new Forwarder(
                        new Forwarder.Environment(
                                dialect,
                                client,
                                loop,
                                timeSource,
                                lease,
                                new QuotaBorrower(
                                        parts.transport(), this::leader, loop, timeSource),
                                createLimits(settings.limits()),
                                parts.log(),
                                new DefaultForwardingMetrics(parts.metrics()),
                                parts.random().split()));
        viewClient =
                new ViewClient(
                        parts.transport(),
                        node ->
                                ControlDirectory.makeReachable(
                                        parts.transport(), node, settings.peerPort()),
                        settings.seedNodes(),
                        new ViewFollower(dialect, timeSource),
                        lease,
                        loop,
                        timeSource,
                        this::report,
                        this::follow);
        callers = parts.createServer("callers", forwarder.getApi());
        readiness = parts.createServer("readiness", this::answerReadiness);
        metrics = parts.createMetricsServer();
        parts.metrics()
                .addGauge(
                        "cardamomthread_view_age_seconds",
                        "Time since the leader confirmed the view",
                        () -> lease.ageMs() / 1_000.0);
    }

    @Override
    public void start() throws ListenException, TransportStartException {
        FleetSettings settings = parts.settings();
        parts.transport().start();
        viewClient.start();
        metrics.listen(settings.metrics().toSocketAddress());
        readiness.listen(require(settings.readiness()).toSocketAddress());
        callers.listen(require(settings.callers()).toSocketAddress());
        LOGGER.atInfo()
                .addKeyValue("event", "node-started")
                .addKeyValue("node", settings.nodeId())
                .addKeyValue("name", settings.nodeName())
                .addKeyValue("dataCentre", settings.dataCentre())
                .addKeyValue("seeds", settings.seedNodes())
                .log("gateway started, callers on {}", settings.callers().orElseThrow());
    }

    @Override
    public boolean stopGracefully() {
        long startMs = parts.timeSource().monotonicMs();
        long endMs = startMs + parts.settings().limits().shutdownMs() - CLOSE_RESERVE_MS;
        stopping.set(true);
        callers.startDraining();
        LOGGER.atInfo()
                .addKeyValue("event", "node-stopping")
                .addKeyValue("requests", callers.getRequestsInProgress())
                .log("gateway stops; open requests are finished");
        sleepUntil(startMs + UNREADY_MS);
        callers.stopTakingRequests();
        while (callers.getRequestsInProgress() > 0 && parts.timeSource().monotonicMs() < endMs) {
            sleep(POLL_INTERVAL_MS);
        }
        int open = callers.getRequestsInProgress();
        LOGGER.atInfo()
                .addKeyValue("event", "node-stopped")
                .addKeyValue("openRequests", open)
                .log("gateway stopped");
        close();
        return open == 0;
    }

    @Override
    public void close() {
        for (HttpServer server : List.of(callers, readiness, metrics)) {
            server.close();
        }
        client.close();
        parts.close();
    }

    private Optional<NodeId> leader() {
        return viewClient.leader();
    }

    private void report(ViewRequest.Builder request) {
        request.setDataCentre(parts.settings().dataCentre().value())
                .setIncarnation(parts.incarnation());
        forwarder.report(request);
    }

    private void follow(GatewayView view) {
        forwarder.follow(view);
        hasView = view.routes().isPresent();
    }

    private void answerReadiness(HttpExchange exchange) {
        boolean isKnown = exchange.getCall().path().equals(dialect.readinessPath());
        if (!isKnown) {
            exchange.respond(HttpReply.createText(404, "no such call\n"));
            return;
        }
        boolean isReady = hasView && lease.isHeld() && !stopping.get();
        exchange.respond(
                isReady
                        ? HttpReply.createText(200, "ready\n")
                        : HttpReply.createText(503, "not ready\n"));
    }

    private void sleepUntil(long untilMs) {
        long remainingMs = untilMs - parts.timeSource().monotonicMs();
        if (remainingMs > 0) {
            sleep(remainingMs);
        }
    }

    private static ForwardingLimits createLimits(FleetLimits limits) {
        return new ForwardingLimits(
                limits.repeatRatio(),
                limits.repeatExtra(),
                limits.repeatWindowS(),
                limits.quotas(),
                limits.usageWindowS());
    }

    private static NetworkAddress require(Optional<NetworkAddress> address) {
        return address.orElseThrow(
                () -> new IllegalStateException("settings must have been checked for the role"));
    }

    private static void sleep(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
