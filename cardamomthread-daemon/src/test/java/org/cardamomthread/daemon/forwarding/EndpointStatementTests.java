package org.cardamomthread.daemon.forwarding;

import static org.cardamomthread.daemon.forwarding.ForwarderFixture.CHAT;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.completeStream;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.interruptedStream;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.respondWith;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.signed;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.testing.FakeEndpointClient;
import org.cardamomthread.daemon.testing.RecordedExchange;
import org.cardamomthread.daemon.testing.TestEndpoints;
import org.cardamomthread.daemon.testing.TestPlatformDialect;
import org.cardamomthread.daemon.view.KnownEndpoint;
import org.cardamomthread.daemon.view.generated.LeavingEndpoint;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests which endpoints get requests after their responses have stated that they leave, or want a
 * pause.
 */
public class EndpointStatementTests {

    /** Enough to select each of four endpoints several times. */
    private static final int REQUESTS = 60;

    private static final Consumer<EndpointResponseListener> OK = respondWith(200, signed(), "body");

    private ForwarderFixture fixture;
    private FakeEndpointClient client;

    @BeforeMethod
    public void createForwarder() {
        fixture = new ForwarderFixture();
        client = fixture.client();
    }

    @DataProvider
    public Object[][] responsesOfLeavingEndpoints() {
        RequestKind once = RequestKind.ONCE_PER_ATTEMPT;
        return new Object[][] {
            {"success", once, respondWith(200, leaving(signed()), "body")},
            {"failure", once, respondWith(500, leaving(signed()), "body")},
            {"client error", once, respondWith(404, leaving(signed()), "body")},
            {"not run", once, respondWith(503, leaving(notRun()), "body")},
            {"lost after its head", once, headThenLoss(leaving(signed()))},
            {"stream", RequestKind.STREAM, respondWith(200, leaving(signed()), "id: 1\n\n")},
        };
    }

    @Test(dataProvider = "responsesOfLeavingEndpoints")
    public void sendsNothingToEndpointThatStatedItLeaves(
            String name, RequestKind kind, Consumer<EndpointResponseListener> response) {
        client.addScript(response);
        fixture.send(kind, 1);
        assertFalse(addressesOfFurtherRequests(kind).contains(addressOf(0)), name);
    }

    @Test
    public void sendsNothingToEndpointThatStatedItLeavesInResumedStream() {
        client.addScript(interruptedStream("id: 1\ndata: a\n\n"));
        client.addScript(respondWith(200, leaving(signed()), "id: 2\ndata: b\n\n"));
        fixture.send(RequestKind.RESUMABLE_STREAM, 2);
        assertEquals(client.getAttemptCount(), 2);
        assertFalse(
                addressesOfFurtherRequests(RequestKind.RESUMABLE_STREAM).contains(addressOf(1)));
    }

    @Test
    public void keepsLeavingEndpointClosedWhenItsReportDisappearsAndComesBack() {
        client.addScript(respondWith(200, leaving(signed()), "body"));
        fixture.send(RequestKind.REPEATABLE, 1);
        apply(Map.of());
        apply(TestEndpoints.createEndpoints(CHAT, 4, false));
        fixture.time().advanceMs(600_000);
        fixture.renewLease();
        assertFalse(addressesOfFurtherRequests(RequestKind.REPEATABLE).contains(addressOf(0)));
    }

    @Test
    public void reopensEndpointThatWasStartedAgain() {
        client.addScript(respondWith(200, leaving(signed()), "body"));
        fixture.send(RequestKind.REPEATABLE, 1);
        Map<EndpointId, KnownEndpoint> restarted = new HashMap<>();
        TestEndpoints.createEndpoints(CHAT, 4, false)
                .forEach((id, known) -> restarted.put(id, startedAgain(known)));
        apply(restarted);
        assertTrue(addressesOf(REQUESTS).contains(addressOf(0)));
    }

    @Test
    public void reportsLeavingEndpointsUntilTheViewHoldsThemAsDraining() {
        client.addScript(respondWith(200, leaving(signed()), "body"));
        fixture.send(RequestKind.REPEATABLE, 1);
        ViewRequest.Builder report = ViewRequest.newBuilder();
        fixture.forwarder().addReport(report);
        assertEquals(report.getLeavingCount(), 1);
        LeavingEndpoint leaving = report.getLeaving(0);
        assertEquals(leaving.getBornMs(), 1);
        assertEquals(client.getRequest(0).address(), addressOf(leaving.getId()));

        apply(TestEndpoints.createEndpoints(CHAT, 4, true));
        ViewRequest.Builder next = ViewRequest.newBuilder();
        fixture.forwarder().addReport(next);
        assertEquals(next.getLeavingCount(), 0);
    }

    @Test
    public void sendsNothingToEndpointUntilItsPauseHasPassed() {
        client.addScript(respondWith(503, retryAfter("2.5"), "busy"));
        fixture.send(RequestKind.REPEATABLE, 1);
        fixture.time().advanceMs(2_499);
        assertFalse(addressesOfFurtherRequests(RequestKind.REPEATABLE).contains(addressOf(0)));
        fixture.time().advanceMs(1);
        assertTrue(addressesOf(REQUESTS).contains(addressOf(0)));
    }

    @DataProvider
    public Object[][] responsesWithoutPause() {
        return new Object[][] {
            {"date", 503, "Wed, 21 Oct 2015 07:28:00 GMT"},
            {"negative", 503, "-3"},
            {"zero", 503, "0"},
            {"empty", 503, ""},
            {"not a number", 503, "NaN"},
            {"another status", 500, "3"},
        };
    }

    @Test(dataProvider = "responsesWithoutPause")
    public void keepsSendingToEndpointThatStatesNoPause(String name, int status, String value) {
        HttpHeaders headers = signed().set("retry-after", value);
        client.addScript(respondWith(status, headers, "busy"));
        fixture.send(RequestKind.REPEATABLE, 1);
        assertTrue(addressesOfFurtherRequests(RequestKind.REPEATABLE).contains(addressOf(0)), name);
    }

    @Test
    public void rejectsAtOnceWithShortestPauseWhenAllEndpointsWantOne() {
        String[] pausesS = {"4", "2", "3", "5"};
        for (String pauseS : pausesS) {
            client.addScript(respondWith(503, retryAfter(pauseS), "busy"));
        }
        fixture.send(RequestKind.REPEATABLE, pausesS.length);
        assertEquals(client.getAttemptCount(), pausesS.length);
        fixture.time().advanceMs(500);
        RecordedExchange rejected = fixture.send();
        assertEquals(client.getAttemptCount(), pausesS.length);
        assertEquals(rejected.getStatus(), 503);
        assertEquals(rejected.getResponseHeader("retry-after"), "1.5");
    }

    @DataProvider
    public Object[][] statements() {
        return new Object[][] {
            {"leaves", leaving(notRun())}, {"wants a pause", retryAfter("5")},
        };
    }

    /** The request was placed before the statement arrived and still waits for a connection. */
    @Test(dataProvider = "statements")
    public void withdrawsRequestThatWaitsForConnectionToEndpoint(String name, HttpHeaders head) {
        apply(TestEndpoints.createEndpoints(CHAT, 1, false));
        client.addScript(listener -> {});
        client.addScript(respondWith(503, head, "busy"));
        fixture.send();
        fixture.send();
        assertEquals(client.getAttemptCount(), 2, name);
        assertFalse(client.getRequest(0).maySend().getAsBoolean(), name);
    }

    @Test
    public void resumesNoStreamInDataCentreThatIsOutOfServiceMeanwhile() {
        EndpointResponseListener[] first = new EndpointResponseListener[1];
        client.addScript(
                listener -> {
                    listener.onHead(200, signed());
                    listener.onBodyPart(ForwarderFixture.bytes("id: 1\ndata: a\n\n"));
                    first[0] = listener;
                });
        RecordedExchange exchange = fixture.send(RequestKind.RESUMABLE_STREAM, 2);
        fixture.forwarder()
                .applyView(
                        ForwarderFixture.view(
                                RequestKind.RESUMABLE_STREAM,
                                2,
                                TestEndpoints.createEndpoints(CHAT, 4, false),
                                Set.of(new DataCentreId("perth-a"))));
        client.addScript(completeStream());
        first[0].onFailure(FakeEndpointClient.createFailure(Kind.CONNECTION_LOST));
        assertEquals(client.getAttemptCount(), 1);
        assertTrue(exchange.isAborted());
    }

    private Set<String> addressesOfFurtherRequests(RequestKind kind) {
        for (int i = 0; i < REQUESTS; i++) {
            client.addScript(kind.isStream() ? completeStream() : OK);
        }
        int first = client.getAttemptCount();
        for (int i = 0; i < REQUESTS; i++) {
            fixture.send(kind, 1);
        }
        assertEquals(client.getAttemptCount(), first + REQUESTS);
        return addressesSince(first);
    }

    private Set<String> addressesOf(int requests) {
        int first = client.getAttemptCount();
        for (int i = 0; i < requests; i++) {
            client.addScript(OK);
            fixture.send();
        }
        return addressesSince(first);
    }

    private Set<String> addressesSince(int first) {
        Set<String> addresses = new HashSet<>();
        for (int i = first; i < client.getAttemptCount(); i++) {
            addresses.add(addressOf(i));
        }
        return addresses;
    }

    private String addressOf(int attempt) {
        return client.getRequest(attempt).address();
    }

    private static String addressOf(String endpoint) {
        return "10.0.0." + endpoint.substring(1) + ":80";
    }

    private void apply(Map<EndpointId, KnownEndpoint> endpoints) {
        fixture.forwarder()
                .applyView(ForwarderFixture.view(RequestKind.REPEATABLE, 1, endpoints, Set.of()));
    }

    private static KnownEndpoint startedAgain(KnownEndpoint known) {
        EndpointReport report = known.report();
        return new KnownEndpoint(
                new EndpointReport(
                        report.id(),
                        report.startTimeMs() + 1,
                        1,
                        report.service(),
                        report.address(),
                        report.dataCentre(),
                        report.version(),
                        report.slots(),
                        false,
                        0,
                        false),
                0);
    }

    private static HttpHeaders notRun() {
        return new DefaultHttpHeaders().set(TestPlatformDialect.NOT_RUN, "1");
    }

    private static HttpHeaders leaving(HttpHeaders headers) {
        return headers.set(TestPlatformDialect.LEAVING, "1");
    }

    private static HttpHeaders retryAfter(String seconds) {
        return notRun().set("retry-after", seconds);
    }

    private static Consumer<EndpointResponseListener> headThenLoss(HttpHeaders headers) {
        return listener -> {
            listener.onHead(200, headers);
            listener.onFailure(FakeEndpointClient.createFailure(Kind.CONNECTION_LOST));
        };
    }
}
