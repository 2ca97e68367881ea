package org.cardamomthread.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.opentelemetry.api.trace.Span;
import java.nio.charset.StandardCharsets;
import java.util.List;
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
import org.cardamomthread.daemon.telemetry.NodeMetrics;
import org.cardamomthread.daemon.telemetry.NodeTracing;
import org.cardamomthread.daemon.testing.FakeEndpointClient;
import org.cardamomthread.daemon.testing.PromptGuards;
import org.cardamomthread.daemon.testing.RecordedExchange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how model calls treat prompts under which endpoints were lost. */
public class QuarantinedPromptTests {

    private static final TrafficClass TRAFFIC = new TrafficClass(true, 500, 50, 0.5, 0.5, 1_000);
    private static final CallTarget TARGET =
            new CallTarget(
                    new ServiceId("chat"), new RouteId("chat-completions"), true, true, TRAFFIC);

    private static final int BLOCK_LENGTH = 64;

    /** With the role before it, as long as three blocks. */
    private static final String SHARED_TEXT = "s".repeat(3 * BLOCK_LENGTH - "user:".length());

    private FakePlacement placement;
    private FakeEndpointClient endpoints;
    private ManualTimeSource timeSource;
    private PromptGuard promptGuard;
    private RecordedExchange caller;
    private int requestCount;

    @BeforeMethod
    public void reset() {
        placement = new FakePlacement();
        endpoints = new FakeEndpointClient();
        timeSource = new ManualTimeSource();
        promptGuard = PromptGuards.createWithoutPeers(timeSource);
        requestCount = 0;
    }

    @DataProvider
    public Object[][] callsAndLosses() {
        return new Object[][] {
            {true, Kind.CONNECTION_LOST},
            {true, Kind.TRUNCATED_ANSWER},
            {false, Kind.CONNECTION_LOST},
            {false, Kind.TRUNCATED_ANSWER},
        };
    }

    @DataProvider
    public Object[][] calls() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "callsAndLosses")
    public void sendsUnansweredPromptToNoSecondEndpoint(boolean isStreamed, Kind loss)
            throws Exception {
        endpoints.addScript(lose(isStreamed, loss));
        endpoints.addScript(answer(isStreamed));
        call(isStreamed, SHARED_TEXT);
        assertEquals(endpoints.getAttemptCount(), 1);
        assertTrue(caller.getBody().contains("\"execution\":\"unknown\""), caller.getBody());
        assertTrue(caller.getBody().contains("endpoint-lost"), caller.getBody());
    }

    @Test(dataProvider = "callsAndLosses")
    public void sendsAnsweredPromptToSecondEndpoint(boolean isStreamed, Kind loss)
            throws Exception {
        endpoints.addScript(answer(isStreamed));
        endpoints.addScript(lose(isStreamed, loss));
        endpoints.addScript(answer(isStreamed));
        call(isStreamed, SHARED_TEXT);
        call(isStreamed, SHARED_TEXT);
        assertEquals(endpoints.getAttemptCount(), 3);
        assertIsAnswered();
    }

    @Test(dataProvider = "calls")
    public void sendsPromptToSecondEndpointIfOnlyItsLastBlockIsUnanswered(boolean isStreamed)
            throws Exception {
        endpoints.addScript(lose(isStreamed, Kind.CONNECTION_LOST));
        endpoints.addScript(answer(isStreamed));
        call(isStreamed, "");
        assertEquals(endpoints.getAttemptCount(), 2);
        assertIsAnswered();
    }

    @Test
    public void resumesUnansweredPromptAfterFirstToken() throws Exception {
        endpoints.addScript(
                listener -> {
                    FakeEndpointClient.beginStream(listener);
                    FakeEndpointClient.sendToken(listener, "two ");
                    listener.onFailure(FakeEndpointClient.createFailure(Kind.CONNECTION_LOST));
                });
        endpoints.addScript(FakeEndpointClient.streamCompletely("bags"));
        call(true, SHARED_TEXT);
        assertEquals(caller.getTokens(), List.of("two ", "bags"));
    }

    @Test(dataProvider = "calls")
    public void rejectsPromptWithoutSendingItAfterLostTrial(boolean isStreamed) throws Exception {
        endpoints.addScript(lose(isStreamed, Kind.CONNECTION_LOST));
        endpoints.addScript(lose(isStreamed, Kind.CONNECTION_LOST));
        call(isStreamed, SHARED_TEXT);
        call(isStreamed, SHARED_TEXT);
        call(isStreamed, SHARED_TEXT);
        assertEquals(endpoints.getAttemptCount(), 2);
        assertEquals(caller.getStatus(), 503);
        assertEquals(caller.getResponseHeader("retry-after"), "3");
        assertTrue(caller.getBody().contains("\"execution\":\"not-run\""), caller.getBody());
    }

    @Test(dataProvider = "calls")
    public void sendsOneTrialAtATime(boolean isStreamed) throws Exception {
        endpoints.addScript(lose(isStreamed, Kind.CONNECTION_LOST));
        endpoints.addScript(listener -> {});
        call(isStreamed, SHARED_TEXT);
        call(isStreamed, SHARED_TEXT);
        RecordedExchange firstTrial = caller;
        call(isStreamed, SHARED_TEXT);
        assertEquals(endpoints.getAttemptCount(), 2);
        assertEquals(caller.getStatus(), 503);

        firstTrial.disconnect();
        endpoints.addScript(answer(isStreamed));
        call(isStreamed, SHARED_TEXT);
        assertIsAnswered();
    }

    @Test(dataProvider = "calls")
    public void sendsAllAgainOnceTrialIsAnswered(boolean isStreamed) throws Exception {
        endpoints.addScript(lose(isStreamed, Kind.CONNECTION_LOST));
        call(isStreamed, SHARED_TEXT);
        for (int i = 0; i < 3; i++) {
            endpoints.addScript(answer(isStreamed));
            call(isStreamed, SHARED_TEXT);
            assertIsAnswered();
        }
    }

    private void assertIsAnswered() {
        assertEquals(caller.getStatus(), 200, caller.getBody());
        assertTrue(caller.isComplete());
    }

    /** An endpoint may be lost between the head of its response and the first event. */
    private static Consumer<EndpointResponseListener> lose(boolean isStreamed, Kind loss) {
        return listener -> {
            if (isStreamed) {
                FakeEndpointClient.beginStream(listener);
            }
            listener.onFailure(FakeEndpointClient.createFailure(loss));
        };
    }

    private static Consumer<EndpointResponseListener> answer(boolean isStreamed) {
        return isStreamed
                ? FakeEndpointClient.streamCompletely("bags")
                : listener -> {
                    listener.onHead(200, new DefaultHttpHeaders());
                    listener.onBodyPart("bags".getBytes(StandardCharsets.UTF_8));
                    listener.onComplete();
                };
    }

    /** Starts a call whose prompt ends with a block of its own. */
    private void call(boolean isStreamed, String sharedText) throws Exception {
        requestCount++;
        String ownText = String.format("%064d", requestCount);
        String body =
                String.format(
                        "{\"model\":\"chat\",\"stream\":%s,\"messages\":[{\"role\":\"user\","
                                + "\"content\":\"%s\"}]}",
                        isStreamed, sharedText + ownText);
        caller = new RecordedExchange("/v1/chat/completions", body);
        NodeTracing tracing = new NodeTracing(new NodeId("node-a"), Optional.empty());
        Span span = tracing.startServerSpan("test", new DefaultHttpHeaders());
        CallContext context =
                new CallContext(
                        caller,
                        new RequestId("r" + requestCount),
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
                        promptGuard,
                        timeSource);
        new DefaultCallStarter(
                        dependencies,
                        (plainContext, target) -> {
                            throw new UnsupportedOperationException("not a model call");
                        })
                .startModelCall(context, ModelRequest.parse(body.getBytes(StandardCharsets.UTF_8)));
    }
}
