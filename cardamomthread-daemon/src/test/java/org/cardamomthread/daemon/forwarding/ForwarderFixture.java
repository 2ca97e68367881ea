package org.cardamomthread.daemon.forwarding;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.TrafficAccount;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.configuration.traffic.TrafficRoute;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.configuration.traffic.WeightedService;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.concurrent.AfterPendingReads;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.telemetry.NodeForwardingMetrics;
import org.cardamomthread.daemon.telemetry.NodeMetrics;
import org.cardamomthread.daemon.testing.FakeEndpointClient;
import org.cardamomthread.daemon.testing.RecordedExchange;
import org.cardamomthread.daemon.testing.TestEndpoints;
import org.cardamomthread.daemon.testing.TestPlatformDialect;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.KnownEndpoint;
import org.cardamomthread.daemon.view.QuotaAllocation;
import org.cardamomthread.daemon.view.QuotaPoolClient;
import org.cardamomthread.daemon.view.TrialClient;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.policy.placement.DataCentreMargin;

/**
 * A forwarder of one gateway with scripted endpoints, for one service with one route and one client
 * account.
 */
final class ForwarderFixture {

    static final ServiceId CHAT = new ServiceId("chat");
    static final long LEASE_MS = 3_750;
    static final long ROUTE_TIMEOUT_MS = 5_000;

    private final ManualTimeSource time = new ManualTimeSource();
    private final FakeEndpointClient client;
    private final ViewLease viewLease;
    private final Forwarder forwarder;

    ForwarderFixture() {
        this(new EmbeddedChannel().eventLoop(), Runnable::run);
    }

    ForwarderFixture(EventLoop loop, Executor afterPendingReads) {
        this(loop, afterPendingReads, new FakeEndpointClient());
    }

    private ForwarderFixture(
            EventLoop loop, Executor afterPendingReads, FakeEndpointClient fakeClient) {
        this(loop, afterPendingReads, fakeClient, fakeClient);
    }

    /** Creates a forwarder that sends attempts to real endpoints. */
    ForwarderFixture(EventLoop loop, EndpointClient endpointClient) {
        this(loop, new AfterPendingReads(loop), endpointClient, null);
    }

    private ForwarderFixture(
            EventLoop loop,
            Executor afterPendingReads,
            EndpointClient endpointClient,
            FakeEndpointClient fakeClient) {
        client = fakeClient;
        time.advanceMs(10_000);
        viewLease = new ViewLease(time, LEASE_MS);
        forwarder =
                new Forwarder(
                        new Forwarder.Dependencies(
                                new TestPlatformDialect(),
                                endpointClient,
                                loop,
                                afterPendingReads,
                                time,
                                new DataCentreId("perth-a"),
                                new DataCentreMargin(OptionalLong.empty()),
                                viewLease,
                                new QuotaPoolClient(null, Optional::empty, Runnable::run, time),
                                new TrialClient(null, Optional::empty, Runnable::run),
                                new ForwardingLimits(
                                        0.2,
                                        54,
                                        10,
                                        new QuotaAllocation(8, 0.1, 1_000),
                                        5,
                                        new CanaryAllocation(0.1, 50)),
                                new DecisionLog(time),
                                new NodeForwardingMetrics(new NodeMetrics()),
                                new SplittableRandom(1)));
        renewLease();
    }

    ManualTimeSource time() {
        return time;
    }

    FakeEndpointClient client() {
        return client;
    }

    Forwarder forwarder() {
        return forwarder;
    }

    void renewLease() {
        viewLease.renew(time.monotonicMs());
    }

    /** Applies a view with four endpoints and sends a request. */
    RecordedExchange send(RequestKind requestKind, int maxAttempts) {
        forwarder.applyView(view(requestKind, maxAttempts));
        return send();
    }

    /** Sends a request by the view applied last. */
    RecordedExchange send() {
        RecordedExchange exchange = new RecordedExchange("/a/x", "body", headers("key"));
        forwarder.getHandler().handle(exchange);
        return exchange;
    }

    static HttpHeaders headers(String key) {
        HttpHeaders headers =
                new DefaultHttpHeaders().set("host", "ice.example").set("x-request-id", "r1");
        return key == null ? headers : headers.set("authorization", "Bearer " + key);
    }

    static GatewayView view(RequestKind requestKind, int maxAttempts) {
        return view(
                requestKind, maxAttempts, TestEndpoints.createEndpoints(CHAT, 4, false), Set.of());
    }

    static GatewayView view(
            RequestKind requestKind,
            int maxAttempts,
            Map<EndpointId, KnownEndpoint> endpoints,
            Set<DataCentreId> drainedDataCentres) {
        TrafficRoute route =
                new TrafficRoute(
                        new RouteId("r"),
                        "ice.example",
                        "/a/",
                        requestKind,
                        ROUTE_TIMEOUT_MS,
                        100,
                        100,
                        1,
                        List.of(new WeightedService(CHAT, 1)),
                        maxAttempts,
                        false);
        TrafficDocument document =
                new TrafficDocument(
                        1,
                        List.of(route),
                        List.of(new TrafficService(CHAT, "/h", 10, 0, false, Optional.empty())),
                        List.of(
                                new TrafficAccount(
                                        new ClientAccountId("bars"),
                                        List.of("key"),
                                        OptionalInt.empty(),
                                        false,
                                        0,
                                        0,
                                        0)));
        return view(document, endpoints, drainedDataCentres);
    }

    static GatewayView view(
            TrafficDocument document,
            Map<EndpointId, KnownEndpoint> endpoints,
            Set<DataCentreId> drainedDataCentres) {
        return new GatewayView(
                document.version(),
                Optional.of(new RouteTable(document)),
                drainedDataCentres,
                Map.of(),
                endpoints,
                1,
                Map.of(),
                Map.of());
    }

    static HttpHeaders signed() {
        return new DefaultHttpHeaders().set(TestPlatformDialect.SIGNATURE, "s");
    }

    static HttpHeaders signed(String contentType) {
        return signed().set("content-type", contentType);
    }

    static Consumer<EndpointResponseListener> respondWith(
            int status, HttpHeaders headers, String body) {
        return listener -> {
            listener.onHead(status, headers);
            listener.onBodyPart(bytes(body));
            listener.onComplete();
        };
    }

    static Consumer<EndpointResponseListener> completeStream() {
        return respondWith(200, signed(), "id: 1\ndata: a\n\n");
    }

    static Consumer<EndpointResponseListener> interruptedStream(String delivered) {
        return listener -> {
            listener.onHead(200, signed());
            listener.onBodyPart(bytes(delivered));
            listener.onFailure(FakeEndpointClient.createFailure(Kind.CONNECTION_LOST));
        };
    }

    static Consumer<EndpointResponseListener> fail(Kind kind) {
        return listener -> listener.onFailure(FakeEndpointClient.createFailure(kind));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
