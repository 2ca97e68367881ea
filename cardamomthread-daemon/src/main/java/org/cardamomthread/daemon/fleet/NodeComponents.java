package org.cardamomthread.daemon.fleet;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.hash.RandomSeeds;
import org.cardamomthread.core.time.SuspendAwareTimeSource;
import org.cardamomthread.core.time.SystemTimeSource;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.http.ClientGuard;
import org.cardamomthread.daemon.http.ClientMemory;
import org.cardamomthread.daemon.http.HttpHandler;
import org.cardamomthread.daemon.http.HttpLimits;
import org.cardamomthread.daemon.http.HttpServer;
import org.cardamomthread.daemon.http.LimitReason;
import org.cardamomthread.daemon.http.ServerRequest;
import org.cardamomthread.daemon.http.ServerResponse;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.telemetry.NodeMetrics;
import org.cardamomthread.transport.NettyPeerTransport;
import org.cardamomthread.transport.TransportListener;
import org.cardamomthread.transport.TransportSettings;

/**
 * Holds the components that gateways and control nodes share: clock, event loop, transport,
 * decision log and metrics. Thread-safe.
 */
final class NodeComponents implements AutoCloseable {

    /**
     * A single event loop: hosts have one core, and the state of a gateway is confined to one
     * thread.
     */
    private static final int EVENT_LOOP_THREADS = 1;

    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    /** Longer than the idle timeout of clients, so that clients close their connections first. */
    private static final long IDLE_TIMEOUT_MS = 60_000;

    private static final long BODY_TIMEOUT_MS = 20_000;
    private static final int MAX_CONNECTIONS = 3_000;

    /**
     * Time to wait for the event loop to stop; threads that still run when the process exits can
     * make it fail with an error.
     */
    private static final long CLOSE_TIMEOUT_MS = 500;

    private final FleetSettings settings;
    private final TimeSource timeSource = new SuspendAwareTimeSource(new SystemTimeSource());
    private final long incarnation = timeSource.millis();
    private final SplittableRandom random;
    private final NodeMetrics metrics = new NodeMetrics();
    private final DecisionLog log = new DecisionLog(timeSource);
    private final EventLoopGroup eventLoops;
    private final NettyPeerTransport transport;
    private final ClientGuard clientGuard;

    @SuppressWarnings("deprecation")
    NodeComponents(FleetSettings settings) {
        this.settings = settings;
        random = new SplittableRandom(RandomSeeds.derive(settings.nodeId().value(), incarnation));
        eventLoops = new NioEventLoopGroup(EVENT_LOOP_THREADS);
        transport =
                new NettyPeerTransport(
                        settings.nodeId(),
                        incarnation,
                        new NetworkAddress(settings.ip(), settings.peerPort()).toSocketAddress(),
                        settings.peerKey().getBytes(StandardCharsets.UTF_8),
                        timeSource,
                        TransportSettings.forFastRecovery(),
                        TransportListener.NONE);
        ClientMemory clientMemory =
                new ClientMemory(settings.clientSettings().memoryBytes(), timeSource);
        clientGuard =
                new ClientGuard(
                        settings.clientSettings().limits(), clientMemory, this::reportLimit);
        metrics.registerGauge(
                "cardamomthread_client_memory_bytes",
                "Memory held for clients, estimated",
                clientMemory::heldBytes);
    }

    private void reportLimit(String listener, LimitReason reason) {
        metrics.countClientLimit(listener, reason.text());
        log.log("client-limit-reached", "listener", listener, "reason", reason.text());
    }

    FleetSettings settings() {
        return settings;
    }

    TimeSource timeSource() {
        return timeSource;
    }

    long incarnation() {
        return incarnation;
    }

    SplittableRandom random() {
        return random;
    }

    NodeMetrics metrics() {
        return metrics;
    }

    DecisionLog log() {
        return log;
    }

    EventLoopGroup eventLoops() {
        return eventLoops;
    }

    NettyPeerTransport transport() {
        return transport;
    }

    HttpServer createHttpServer(String name, HttpHandler handler) {
        HttpLimits limits =
                new HttpLimits(
                        MAX_HEADER_BYTES,
                        MAX_BODY_BYTES,
                        BODY_TIMEOUT_MS,
                        IDLE_TIMEOUT_MS,
                        MAX_CONNECTIONS);
        return new HttpServer(name, eventLoops, limits, clientGuard, handler);
    }

    HttpServer createMetricsServer() {
        return createHttpServer(
                "metrics",
                exchange -> {
                    ServerRequest request = exchange.getRequest();
                    exchange.respond(
                            "/metrics".equals(request.path())
                                    ? ServerResponse.create(
                                            200,
                                            "text/plain; version=0.0.4; charset=utf-8",
                                            metrics.render())
                                    : ServerResponse.createText(404, "see /metrics\n"));
                });
    }

    @Override
    public void close() {
        transport.close();
        eventLoops
                .shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    }
}
