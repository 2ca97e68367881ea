package org.cardamomthread.daemon;

import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cardamomthread.configuration.settings.Listeners;
import org.cardamomthread.configuration.settings.NodeSettings;
import org.cardamomthread.configuration.settings.RequestLimits;
import org.cardamomthread.core.time.SystemTimeSource;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.configuration.ConfigurationHolder;
import org.cardamomthread.daemon.dispatch.AsyncEndpointClient;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.gateway.CallTelemetry;
import org.cardamomthread.daemon.gateway.PlacementHistory;
import org.cardamomthread.daemon.http.ClientGuard;
import org.cardamomthread.daemon.http.HttpHandler;
import org.cardamomthread.daemon.http.HttpLimits;
import org.cardamomthread.daemon.http.HttpServer;
import org.cardamomthread.daemon.http.ListenerBindException;
import org.cardamomthread.daemon.membership.AnnouncementApi;
import org.cardamomthread.daemon.operator.OperatorApi;
import org.cardamomthread.daemon.start.StartableNode;
import org.cardamomthread.daemon.telemetry.NodeMetrics;
import org.cardamomthread.daemon.telemetry.NodeTracing;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.transport.NettyPeerTransport;
import org.cardamomthread.transport.TransportSettings;
import org.cardamomthread.transport.TransportStartException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates the components of one node from its settings and runs them.
 *
 * <p>Lifecycle: {@link #start()} once, then {@link #stopGracefully()} or {@link #close()}.
 * Thread-safe.
 */
final class Node implements StartableNode {

    private static final Logger LOGGER = LoggerFactory.getLogger(Node.class);
    private static final int EVENT_LOOP_THREADS = 2;
    private static final long OPEN_REQUESTS_POLL_INTERVAL_MS = 20;

    private final NodeSettings settings;
    private final String version;
    private final TimeSource timeSource = new SystemTimeSource();
    private final long incarnation = timeSource.millis();
    private final NodeMetrics metrics = new NodeMetrics();
    private final NodeTracing tracing;
    private final ControlThread controlThread = new ControlThread("control");
    private final NioEventLoopGroup eventLoops;
    private final NettyPeerTransport transport;
    private final EndpointClient endpointClient;
    private final CapacityComponents capacity;
    private final MembershipComponents membership;
    private final ConfigurationHolder configuration = new ConfigurationHolder();
    private final ControlComponents controlComponents;
    private final ServingComponents serving;
    private final ClientGuard clientGuard = ClientGuard.createDefault();
    private final HttpServer callerServer;
    private final HttpServer endpointServer;
    private final HttpServer operatorServer;
    private final AtomicBoolean ready = new AtomicBoolean();

    /**
     * Creates a node that does not listen yet.
     *
     * @param settings its settings
     * @param version the program's version, which is logged
     */
    @SuppressWarnings("deprecation")
    Node(NodeSettings settings, String version) {
        this.settings = settings;
        this.version = version;
        tracing =
                new NodeTracing(
                        settings.nodeId(),
                        settings.telemetry()
                                .otlpAddress()
                                .map(address -> "http://" + address + "/v1/traces")
                                .map(NodeTracing::createOtlpExporter));
        eventLoops = new NioEventLoopGroup(EVENT_LOOP_THREADS);
        transport = createTransport();
        endpointClient = new AsyncEndpointClient(eventLoops, timeSource);
        capacity = new CapacityComponents(settings, timeSource);
        membership =
                new MembershipComponents(
                        settings,
                        incarnation,
                        timeSource,
                        transport,
                        controlThread,
                        configuration,
                        capacity.getReclaimNotices());
        controlComponents =
                new ControlComponents(settings, incarnation, configuration, transport, timeSource);
        PlacementHistory placementHistory = new PlacementHistory(timeSource);
        CallTelemetry telemetry = new CallTelemetry(metrics, tracing, timeSource, placementHistory);
        serving =
                new ServingComponents(
                        new ServingComponents.Dependencies(
                                settings,
                                incarnation,
                                transport,
                                controlThread,
                                membership,
                                configuration,
                                controlComponents::propose,
                                controlComponents.getClient(),
                                controlComponents::isExecutionLeader,
                                endpointClient,
                                capacity.getPricing(),
                                telemetry));
        callerServer = createServer("callers", serving.getGateway().getCallerApi());
        endpointServer =
                createServer(
                        "endpoints",
                        new AnnouncementApi(
                                settings.secrets().endpointToken(),
                                membership.getService(),
                                settings.heartbeatMs()));
        operatorServer = createServer("operators", createOperatorApi(placementHistory));
    }

    @Override
    public void start() throws ListenerBindException, TransportStartException, StorageException {
        Listeners listeners = settings.listeners();
        transport.bind();
        operatorServer.bind(listeners.operators().toSocketAddress());
        endpointServer.bind(listeners.endpoints().toSocketAddress());
        callerServer.bind(listeners.callers().toSocketAddress());
        controlComponents.start();
        transport.start();
        membership.getService().setCreditListener(serving.getGateway()::processQueues);
        membership.start(settings.heartbeatMs());
        serving.start();
        controlComponents
                .createClaimCleaner(membership::listDeadNodes, timeSource)
                .start(controlThread);
        capacity.start(membership.getDirectory(), transport, controlThread);
        operatorServer.startAccepting();
        endpointServer.startAccepting();
        callerServer.startAccepting();
        ready.set(true);
        LOGGER.atInfo()
                .addKeyValue("node", settings.nodeId())
                .addKeyValue("dataCentre", settings.dataCentre())
                .addKeyValue("version", version)
                .log("node started, listening for callers on {}", listeners.callers());
    }

    /**
     * Stops the node without aborting requests: reports not ready, then accepts no new connections,
     * then waits for the open requests.
     *
     * @return false if requests were still open when the shutdown timeout elapsed
     */
    @Override
    public boolean stopGracefully() {
        ready.set(false);
        callerServer.startDraining();
        LOGGER.info(
                "node is stopping; new requests are accepted for another {} ms",
                settings.drainDelayMs());
        sleep(settings.drainDelayMs());
        callerServer.stopAcceptingConnections();
        boolean allCompleted = awaitOpenRequests();
        membership.getService().leave();
        close();
        LOGGER.info(allCompleted ? "node stopped" : "node stopped with open requests");
        return allCompleted;
    }

    @Override
    public void close() {
        for (HttpServer server : List.of(callerServer, endpointServer, operatorServer)) {
            server.close();
        }
        endpointClient.close();
        capacity.close();
        controlComponents.close();
        transport.close();
        controlThread.close();
        tracing.close();
        eventLoops.shutdownGracefully();
    }

    private boolean awaitOpenRequests() {
        long deadlineMs = timeSource.monotonicMs() + settings.shutdownTimeoutMs();
        while (callerServer.getRequestsInProgress() > 0) {
            if (timeSource.monotonicMs() >= deadlineMs) {
                return false;
            }
            sleep(OPEN_REQUESTS_POLL_INTERVAL_MS);
        }
        return true;
    }

    private HttpHandler createOperatorApi(PlacementHistory placementHistory) {
        NodeControlPlane controlPlane =
                new NodeControlPlane(
                        configuration, membership, controlComponents, placementHistory);
        OperatorApi api =
                new OperatorApi(settings.secrets().operatorTokens(), controlPlane, timeSource);
        return new HealthApi(metrics, this::isReady, new OperatorHttpApi(api));
    }

    /** Returns whether this node can serve callers: it is started and has a configuration. */
    private boolean isReady() {
        return ready.get() && configuration.getView().revision() > 0;
    }

    private NettyPeerTransport createTransport() {
        return new NettyPeerTransport(
                settings.nodeId(),
                incarnation,
                settings.listeners().peers().toSocketAddress(),
                settings.secrets().peerKey().reveal().getBytes(StandardCharsets.UTF_8),
                timeSource,
                TransportSettings.defaults(),
                new PeerTrafficMeter(metrics));
    }

    private HttpServer createServer(String name, HttpHandler handler) {
        RequestLimits limits = settings.limits();
        HttpLimits httpLimits =
                new HttpLimits(
                        limits.maxHeaderBytes(),
                        limits.maxBodyBytes(),
                        limits.bodyTimeoutMs(),
                        limits.idleTimeoutMs(),
                        limits.maxConnections());
        return new HttpServer(name, eventLoops, httpLimits, clientGuard, handler);
    }

    private static void sleep(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
