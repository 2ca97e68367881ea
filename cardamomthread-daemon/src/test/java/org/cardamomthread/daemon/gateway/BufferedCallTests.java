package org.cardamomthread.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.opentelemetry.api.trace.Span;
import java.util.Optional;
import java.util.function.Consumer;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.telemetry.NodeMetrics;
import org.cardamomthread.daemon.telemetry.NodeTracing;
import org.cardamomthread.daemon.testing.FakeEndpointClient;
import org.cardamomthread.daemon.testing.PromptGuards;
import org.cardamomthread.daemon.testing.RecordedExchange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the limits of {@link BufferedCall} with scripted endpoints. */
public class BufferedCallTests {

    private static final TrafficClass TRAFFIC = new TrafficClass(true, 500, 50, 0.5, 0.5, 1_000);
    private static final CallTarget TARGET =
            new CallTarget(new ServiceId("stock"), new RouteId("levels"), true, true, TRAFFIC);
    private static final int PART_BYTES = 64 * 1024;
    private static final int PARTS = 40;

    private FakeEndpointClient endpoints;
    private RecordedExchange caller;
    private FakePlacement placement;
    private ManualTimeSource timeSource;

    @BeforeMethod
    public void reset() {
        endpoints = new FakeEndpointClient();
        caller = new RecordedExchange("/stock", "");
        placement = new FakePlacement();
        timeSource = new ManualTimeSource();
    }

    @Test
    public void endsAnAttemptWhoseFailureHasAnEndlessBody() {
        endpoints.addScript(send(500));
        endpoints.addScript(
                listener -> {
                    listener.onHead(200, new DefaultHttpHeaders());
                    listener.onComplete();
                });
        start();
        assertEquals(endpoints.getAttemptCount(), 2);
        assertEquals(caller.getStatus(), 200);
    }

    @DataProvider
    public Object[][] firstFailures() {
        return new Object[][] {
            {Kind.CONNECTION_LOST, 502, "unknown"},
            {Kind.FIRST_BYTE_TIMEOUT, 502, "unknown"},
            {Kind.NOT_SENT, 503, "not-run"},
        };
    }

    @Test(dataProvider = "firstFailures")
    public void neverStatesThatCallDidNotRunAfterAnAttemptThatMayHave(
            Kind first, int expectedStatus, String expectedExecution) {
        placement.refuseAfter(1);
        endpoints.addScript(
                listener -> listener.onFailure(FakeEndpointClient.createFailure(first)));
        start();
        assertEquals(caller.getStatus(), expectedStatus);
        assertTrue(caller.getBody().contains(expectedExecution), caller.getBody());
    }

    @Test
    public void withdrawsRequestToEndpointThatAskedForAPauseMeanwhile() {
        endpoints.addScript(
                listener -> {
                    listener.onHead(503, new DefaultHttpHeaders().set("retry-after", "2.5"));
                    listener.onComplete();
                });
        endpoints.addScript(
                listener -> {
                    listener.onHead(200, new DefaultHttpHeaders());
                    listener.onComplete();
                });
        start();
        assertFalse(endpoints.getRequest(0).maySend().getAsBoolean());
        assertTrue(endpoints.getRequest(1).maySend().getAsBoolean());
        timeSource.advanceMs(2_500);
        assertTrue(endpoints.getRequest(0).maySend().getAsBoolean());
    }

    @Test
    public void retriesUnderTheSameRequestId() {
        endpoints.addScript(send(503).andThen(EndpointResponseListener::onComplete));
        endpoints.addScript(send(200).andThen(EndpointResponseListener::onComplete));
        start();
        assertEquals(endpoints.getRequest(1).requestId(), endpoints.getRequest(0).requestId());
        assertEquals(caller.getStatus(), 200);
    }

    @Test
    public void passesALongResponseOn() {
        endpoints.addScript(send(200).andThen(EndpointResponseListener::onComplete));
        start();
        assertEquals(caller.getBody().length(), PARTS * PART_BYTES);
        assertTrue(caller.isComplete());
    }

    @Test
    public void abortsALongResponseThatBreaksOff() {
        endpoints.addScript(
                send(200)
                        .andThen(
                                listener ->
                                        listener.onFailure(
                                                FakeEndpointClient.createFailure(
                                                        Kind.CONNECTION_LOST))));
        start();
        assertEquals(endpoints.getAttemptCount(), 1);
        assertTrue(caller.isAborted());
        assertFalse(caller.isComplete());
    }

    @Test
    public void failsAJobWhoseLongResponseBreaksOff() {
        endpoints.addScript(
                send(200)
                        .andThen(
                                listener ->
                                        listener.onFailure(
                                                FakeEndpointClient.createFailure(
                                                        Kind.CONNECTION_LOST))));
        JobExchange job = new JobExchange(new byte[0]);
        start(job);
        assertTrue(job.getResponse().isCompletedExceptionally());
    }

    private static Consumer<EndpointResponseListener> send(int status) {
        return listener -> {
            listener.onHead(status, new DefaultHttpHeaders());
            for (int i = 0; i < PARTS; i++) {
                listener.onBodyPart(new byte[PART_BYTES]);
            }
        };
    }

    private void start() {
        start(caller);
    }

    private void start(HttpExchange exchange) {
        NodeTracing tracing = new NodeTracing(new NodeId("node-a"), Optional.empty());
        Span span = tracing.startServerSpan("test", new DefaultHttpHeaders());
        CallContext context =
                new CallContext(
                        exchange,
                        new RequestId("r1"),
                        new ClientAccountId("bars"),
                        TARGET,
                        span,
                        new CallTelemetry(
                                new NodeMetrics(),
                                tracing,
                                timeSource,
                                new PlacementHistory(timeSource)));
        CallDependencies dependencies =
                new CallDependencies(
                        placement,
                        new AttemptDispatcher(
                                endpoints, new EndpointAvailabilityTracker(timeSource), tracing),
                        new BudgetRetryPolicy(timeSource),
                        PromptGuards.createWithoutPeers(timeSource),
                        timeSource);
        new BufferedCall(context, dependencies, WorkEstimate.PLAIN, "/stock").start();
    }
}
