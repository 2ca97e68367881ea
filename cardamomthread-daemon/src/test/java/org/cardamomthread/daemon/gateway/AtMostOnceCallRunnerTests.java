package org.cardamomthread.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.opentelemetry.api.trace.Span;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.dispatch.EndpointAttempt;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.EndpointRequest;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.telemetry.NodeMetrics;
import org.cardamomthread.daemon.telemetry.NodeTracing;
import org.cardamomthread.daemon.testing.FakeEndpointClient;
import org.cardamomthread.daemon.testing.PromptGuards;
import org.cardamomthread.daemon.testing.RecordedExchange;
import org.cardamomthread.execution.claim.ClaimCommand;
import org.cardamomthread.execution.claim.ClaimOutcome;
import org.cardamomthread.execution.claim.StoredResponse;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which responses of at-most-once calls are stored and returned as complete. */
public class AtMostOnceCallRunnerTests {

    private static final TrafficClass TRAFFIC = new TrafficClass(true, 500, 50, 0.5, 0.5, 1_000);
    private static final CallTarget TARGET =
            new CallTarget(new ServiceId("stock"), new RouteId("orders"), false, true, TRAFFIC);

    private FakeEndpointClient endpoints;
    private RecordedExchange caller;
    private List<ClaimCommand> commands;
    private ClaimOutcome claimOutcome;

    @BeforeMethod
    public void reset() {
        endpoints = new FakeEndpointClient();
        commands = new ArrayList<>();
        claimOutcome = new ClaimOutcome(ClaimOutcome.Kind.GRANTED, Optional.empty(), false);
    }

    @DataProvider
    public Object[][] incompleteResponses() {
        Consumer<EndpointResponseListener> lost =
                listener ->
                        listener.onFailure(FakeEndpointClient.createFailure(Kind.CONNECTION_LOST));
        Consumer<EndpointResponseListener> truncated =
                listener ->
                        listener.onFailure(FakeEndpointClient.createFailure(Kind.TRUNCATED_ANSWER));
        return new Object[][] {
            {"lost before the head", lost},
            {"lost before the body", sendHead().andThen(lost)},
            {"lost inside the body", sendHead().andThen(send("hal")).andThen(lost)},
            {"truncated", sendHead().andThen(send("half")).andThen(truncated)},
        };
    }

    @Test(dataProvider = "incompleteResponses")
    public void storesNoIncompleteResponse(
            String name, Consumer<EndpointResponseListener> attempt) {
        endpoints.addScript(attempt);
        start();
        assertEquals(caller.getStatus(), 504, name);
        assertFalse(caller.getBody().contains("hal"), name);
        assertTrue(commands.stream().noneMatch(ClaimCommand.Complete.class::isInstance), name);
        assertTrue(commands.get(1) instanceof ClaimCommand.MarkUnknown, name);
    }

    @DataProvider
    public Object[][] completeResponses() {
        return new Object[][] {{"whole", false}, {"x".repeat(300 * 1024), true}};
    }

    @Test(dataProvider = "completeResponses")
    public void storesACompleteResponseOrThatItsBodyIsOmitted(String body, boolean isOmitted) {
        endpoints.addScript(
                sendHead().andThen(send(body)).andThen(EndpointResponseListener::onComplete));
        start();
        assertEquals(caller.getStatus(), 200);
        assertEquals(caller.getBody(), body);
        StoredResponse stored = ((ClaimCommand.Complete) commands.get(1)).response();
        assertEquals(stored.bodyOmitted(), isOmitted);
        assertEquals(stored.body().toStringUtf8(), isOmitted ? "" : body);

        claimOutcome =
                new ClaimOutcome(ClaimOutcome.Kind.ALREADY_COMPLETED, Optional.of(stored), true);
        start();
        assertEquals(caller.getStatus(), isOmitted ? 410 : 200);
        assertEquals(caller.getBody().equals(body), !isOmitted);
        assertEquals(endpoints.getAttemptCount(), 1);
    }

    private static Consumer<EndpointResponseListener> sendHead() {
        return listener -> listener.onHead(200, new DefaultHttpHeaders());
    }

    private static Consumer<EndpointResponseListener> send(String part) {
        return listener -> listener.onBodyPart(part.getBytes(StandardCharsets.UTF_8));
    }

    private CompletableFuture<ClaimOutcome> propose(ClaimCommand command) {
        commands.add(command);
        ClaimOutcome applied = new ClaimOutcome(ClaimOutcome.Kind.APPLIED, Optional.empty(), false);
        return CompletableFuture.completedFuture(
                command instanceof ClaimCommand.Claim ? claimOutcome : applied);
    }

    private void start() {
        caller =
                new RecordedExchange(
                        "/orders", "{}", new DefaultHttpHeaders().set("idempotency-key", "k1"));
        NodeTracing tracing = new NodeTracing(new NodeId("node-a"), Optional.empty());
        Span span = tracing.startServerSpan("test", new DefaultHttpHeaders());
        ManualTimeSource timeSource = new ManualTimeSource();
        CallContext context =
                new CallContext(
                        caller,
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
                        new FakePlacement(),
                        new AttemptDispatcher(
                                new SendingClient(),
                                new EndpointAvailabilityTracker(timeSource),
                                tracing),
                        new BudgetRetryPolicy(timeSource),
                        PromptGuards.createWithoutPeers(timeSource),
                        timeSource);
        new ReplicatedAtMostOnceCallStarter(new NodeId("node-a"), 1, dependencies, this::propose)
                .start(context, "/orders");
    }

    /** Asks whether it may send before each script. */
    private final class SendingClient implements EndpointClient {

        @Override
        public EndpointAttempt start(EndpointRequest request, EndpointResponseListener listener) {
            assertTrue(request.maySend().getAsBoolean());
            return endpoints.start(request, listener);
        }

        @Override
        public void close() {
            endpoints.close();
        }
    }
}
