package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.configuration.traffic.TrafficRoute;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.configuration.traffic.WeightedService;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.telemetry.NodeForwardingMetrics;
import org.cardamomthread.daemon.telemetry.NodeMetrics;
import org.cardamomthread.daemon.testing.FakeEndpointClient;
import org.cardamomthread.daemon.testing.FakeTrialLeader;
import org.cardamomthread.daemon.testing.RecordedExchange;
import org.cardamomthread.daemon.testing.TestEndpoints;
import org.cardamomthread.daemon.testing.TestPlatformDialect;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.KnownQuarantine;
import org.cardamomthread.daemon.view.QuotaAllocation;
import org.cardamomthread.daemon.view.QuotaPoolClient;
import org.cardamomthread.daemon.view.TrialClient;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.daemon.view.generated.PromptPartEvidence;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.policy.placement.DataCentreMargin;
import org.cardamomthread.policy.quarantine.PromptPartKey;
import org.cardamomthread.policy.quarantine.QuarantineEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how requests are forwarded whose prompts have parts with which endpoints were lost. */
public class PromptPartForwardingTests {

    private static final ServiceId CHAT = new ServiceId("chat");
    private static final PromptPartKey DEADLY = PromptPartKey.of(CHAT, "deadly");
    private static final String PARTS = "shared,deadly,own";
    private static final String EVENT = "id: 1\ndata: a\n\n";

    private ManualTimeSource time;
    private FakeEndpointClient client;
    private FakeTrialLeader leader;
    private Forwarder forwarder;

    @BeforeMethod
    public void createForwarder() {
        time = new ManualTimeSource();
        time.advanceMs(10_000);
        client = new FakeEndpointClient();
        leader = new FakeTrialLeader();
        ViewLease viewLease = new ViewLease(time, 3_000);
        forwarder =
                new Forwarder(
                        new Forwarder.Dependencies(
                                new TestPlatformDialect(),
                                client,
                                new EmbeddedChannel().eventLoop(),
                                Runnable::run,
                                time,
                                new DataCentreId("perth-a"),
                                new DataCentreMargin(OptionalLong.empty()),
                                viewLease,
                                new QuotaPoolClient(null, Optional::empty, Runnable::run, time),
                                new TrialClient(
                                        leader,
                                        () -> Optional.of(FakeTrialLeader.NODE),
                                        Runnable::run),
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
        viewLease.renew(time.monotonicMs());
        forwarder.applyView(view(Map.of()));
    }

    @DataProvider
    public Object[][] losses() {
        return new Object[][] {
            {"connection lost", fail(Kind.CONNECTION_LOST), PARTS, false, 1, 502},
            {"lost after the head", streamThenFail(""), PARTS, false, 1, 502},
            {"lost inside the first event", streamThenFail("id: 1\nda"), PARTS, false, 1, 502},
            {"parts answered before", fail(Kind.CONNECTION_LOST), PARTS, true, 2, 200},
            {"no shared part", fail(Kind.CONNECTION_LOST), "own", false, 2, 200},
            {"other response", fail(Kind.MISMATCHED_ANSWER), PARTS, false, 2, 200},
            {"not sent", fail(Kind.NOT_SENT), PARTS, false, 2, 200},
        };
    }

    @Test(dataProvider = "losses")
    public void sendsToASecondEndpointOnlyIfTheRequestCannotBeTheCause(
            String name,
            Consumer<EndpointResponseListener> firstAttempt,
            String parts,
            boolean isAnsweredBefore,
            int expectedAttempts,
            int expectedStatus) {
        if (isAnsweredBefore) {
            client.addScript(answer());
            send(parts);
        }
        int attemptsBefore = client.getAttemptCount();
        client.addScript(firstAttempt);
        client.addScript(answer());
        RecordedExchange exchange = send(parts);
        assertEquals(client.getAttemptCount() - attemptsBefore, expectedAttempts, name);
        assertEquals(exchange.getStatus(), expectedStatus, name);
    }

    @Test
    public void asksTheLeaderAfterALossBeforeItsListHasThePart() {
        client.addScript(fail(Kind.CONNECTION_LOST));
        send(PARTS);
        RecordedExchange exchange = send(PARTS);
        leader.reject(700);
        assertEquals(client.getAttemptCount(), 1);
        assertEquals(exchange.getStatus(), 503);
        assertEquals(exchange.getResponseHeader("retry-after"), "0.7");
        List<PromptPartEvidence> evidence = leader.getRequests().get(0).getEvidenceList();
        assertEquals(kinds(evidence), List.of("shared LOST", "deadly LOST"));
    }

    @Test
    public void rejectsAtOnceUntilTheNextTrial() {
        forwarder.applyView(view(quarantine(1, 4_000)));
        RecordedExchange exchange = send(PARTS);
        assertEquals(exchange.getStatus(), 503);
        assertEquals(exchange.getResponseHeader("retry-after"), "4.0");
        assertTrue(exchange.getBody().contains("prompt-part-quarantined"), exchange.getBody());
        assertEquals(client.getAttemptCount(), 0);
        assertTrue(leader.getRequests().isEmpty());
    }

    @Test
    public void sendsOtherRequestsWithTheSamePartsAsUsual() {
        forwarder.applyView(view(quarantine(1, 4_000)));
        client.addScript(answer());
        assertEquals(send("shared,other,own").getStatus(), 200);
        assertTrue(leader.getRequests().isEmpty());
    }

    @Test
    public void reportsAnAnsweredTrial() {
        forwarder.applyView(view(quarantine(1, 0)));
        client.addScript(answer());
        RecordedExchange exchange = send(PARTS);
        leader.permit();
        assertEquals(exchange.getStatus(), 200);
        assertTrue(kinds(report()).contains("deadly ANSWERED"));
    }

    @Test
    public void blamesOnlyTheQuarantinedPartForALostTrial() {
        forwarder.applyView(view(quarantine(1, 0)));
        client.addScript(fail(Kind.CONNECTION_LOST));
        client.addScript(answer());
        send(PARTS);
        leader.permit();
        assertEquals(client.getAttemptCount(), 1);
        assertEquals(kinds(report()), List.of("shared TRIAL_RELEASED", "deadly LOST"));
        assertFalse(report().get(1).getTrial().isEmpty());
    }

    @DataProvider
    public Object[][] endsOfTrialsThatWereNotSent() {
        return new Object[][] {
            {"decision lost", (Consumer<FakeTrialLeader>) FakeTrialLeader::loseResponse, 503},
            {"no connection", (Consumer<FakeTrialLeader>) FakeTrialLeader::permit, 503},
        };
    }

    @Test(dataProvider = "endsOfTrialsThatWereNotSent")
    public void releasesATrialThatWasNotSent(
            String name, Consumer<FakeTrialLeader> decision, int expectedStatus) {
        forwarder.applyView(view(quarantine(1, 0)));
        for (int i = 0; i < 3; i++) {
            client.addScript(fail(Kind.NOT_SENT));
        }
        RecordedExchange exchange = send(PARTS);
        for (int i = 0; i < 3 && exchange.getStatus() != expectedStatus; i++) {
            decision.accept(leader);
        }
        assertEquals(exchange.getStatus(), expectedStatus, name);
        assertTrue(kinds(report()).contains("deadly TRIAL_RELEASED"), name);
    }

    @Test
    public void releasesATrialWhoseClientLeftBeforeTheDecision() {
        forwarder.applyView(view(quarantine(1, 0)));
        RecordedExchange exchange = send(PARTS);
        exchange.disconnect();
        leader.permit();
        assertEquals(client.getAttemptCount(), 0);
        assertTrue(kinds(report()).contains("deadly TRIAL_RELEASED"));
    }

    @Test
    public void keepsEvidenceUntilALeaderHasAnswered() {
        client.addScript(fail(Kind.CONNECTION_LOST));
        send(PARTS);
        time.advanceMs(300);
        assertEquals(kinds(report()), List.of("shared LOST", "deadly LOST"));
        assertEquals(report().get(1).getAgeMs(), 300);
        forwarder.applyView(view(Map.of()));
        assertTrue(report().isEmpty());
    }

    @Test
    public void vouchesForRecordedPartsThatWereAnsweredHere() {
        client.addScript(answer());
        send(PARTS);
        forwarder.applyView(view(quarantine(1, 0)));
        client.addScript(answer());
        assertEquals(send(PARTS).getStatus(), 200);
        assertTrue(leader.getRequests().isEmpty());
        assertTrue(kinds(report()).contains("deadly VOUCHED"));
        assertTrue(kinds(report()).contains(" SERVICE_ANSWERED"));
    }

    @Test
    public void keepsLossesWhileRequestsAreRejectedWithoutADecision() {
        client.addScript(fail(Kind.CONNECTION_LOST));
        send(PARTS);
        for (int i = 0; i < PromptPartEvidenceBuffer.MAX_ITEMS; i++) {
            send(PARTS);
            leader.loseResponse();
        }
        assertTrue(kinds(report()).contains("deadly LOST"));
    }

    @Test
    public void asksTheLeaderAboutALossUntilItHasBeenTold() {
        client.addScript(fail(Kind.CONNECTION_LOST));
        send(PARTS);
        time.advanceMs(PromptPartGuard.LOCAL_LOSS_MS + 1);
        send(PARTS);
        assertEquals(leader.getRequests().size(), 1);
        leader.reject(500);
        report();
        forwarder.applyView(view(Map.of()));
        client.addScript(answer());
        assertEquals(send(PARTS).getStatus(), 200);
        assertEquals(leader.getRequests().size(), 1);
    }

    @Test
    public void retriesALostRequestWhosePartsEndedAnAnsweredPrompt() {
        client.addScript(answer());
        send("shared,turn1");
        client.addScript(fail(Kind.CONNECTION_LOST));
        client.addScript(answer());
        assertEquals(send("shared,turn1,turn2").getStatus(), 200);
        assertEquals(client.getAttemptCount(), 3);
    }

    @Test
    public void suspectsNoPartOfAStreamThatEndsWithItsMessage() {
        client.addScript(
                listener -> {
                    listener.onHead(
                            200,
                            new DefaultHttpHeaders()
                                    .set(TestPlatformDialect.SIGNATURE, "s")
                                    .set("content-length", "0"));
                    listener.onComplete();
                });
        client.addScript(answer());
        assertEquals(send(PARTS).getStatus(), 200);
        assertEquals(client.getAttemptCount(), 2);
    }

    @Test
    public void boundsTheEvidence() {
        for (int i = 0; i < 2 * PromptPartEvidenceBuffer.MAX_ITEMS; i++) {
            client.addScript(fail(Kind.CONNECTION_LOST));
            send("part" + i + ",own");
        }
        assertEquals(report().size(), PromptPartEvidenceBuffer.MAX_ITEMS);
    }

    private RecordedExchange send(String parts) {
        RecordedExchange exchange =
                new RecordedExchange(
                        "/a/x",
                        "body",
                        new DefaultHttpHeaders()
                                .set("host", "ice.example")
                                .set("x-request-id", "r1")
                                .set(TestPlatformDialect.PROMPT_PARTS, parts));
        forwarder.getHandler().handle(exchange);
        return exchange;
    }

    private List<PromptPartEvidence> report() {
        ViewRequest.Builder request = ViewRequest.newBuilder();
        forwarder.addReport(request);
        return request.getEvidenceList();
    }

    private static List<String> kinds(List<PromptPartEvidence> evidence) {
        return evidence.stream()
                .map(item -> item.getPart().getPart() + " " + item.getKind())
                .toList();
    }

    private Map<PromptPartKey, KnownQuarantine> quarantine(int crashes, long waitMs) {
        QuarantineEntry entry =
                new QuarantineEntry(DEADLY, crashes, crashes, crashes, false, false, waitMs);
        return Map.of(DEADLY, new KnownQuarantine(entry, time.monotonicMs() + waitMs));
    }

    private static GatewayView view(Map<PromptPartKey, KnownQuarantine> recordedParts) {
        TrafficRoute route =
                new TrafficRoute(
                        new RouteId("r"),
                        "ice.example",
                        "/a/",
                        RequestKind.RESUMABLE_STREAM,
                        5_000,
                        100,
                        100,
                        1,
                        List.of(new WeightedService(CHAT, 1)),
                        2,
                        true);
        TrafficDocument document =
                new TrafficDocument(
                        1,
                        List.of(route),
                        List.of(new TrafficService(CHAT, "/h", 10, 0, true, Optional.empty())),
                        List.of());
        return new GatewayView(
                1,
                Optional.of(new RouteTable(document)),
                Set.of(),
                Map.of(),
                TestEndpoints.createEndpoints(CHAT, 4, false),
                1,
                Map.of(),
                recordedParts);
    }

    private static Consumer<EndpointResponseListener> answer() {
        return listener -> {
            listener.onHead(200, signed());
            listener.onBodyPart(EVENT.getBytes(StandardCharsets.UTF_8));
            listener.onComplete();
        };
    }

    private static Consumer<EndpointResponseListener> streamThenFail(String delivered) {
        return listener -> {
            listener.onHead(200, signed());
            listener.onBodyPart(delivered.getBytes(StandardCharsets.UTF_8));
            listener.onFailure(FakeEndpointClient.createFailure(Kind.CONNECTION_LOST));
        };
    }

    private static Consumer<EndpointResponseListener> fail(Kind kind) {
        return listener -> listener.onFailure(FakeEndpointClient.createFailure(kind));
    }

    private static DefaultHttpHeaders signed() {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set(TestPlatformDialect.SIGNATURE, "s");
        return headers;
    }
}
