package org.cardamomthread.daemon.forwarding;

import static org.cardamomthread.daemon.forwarding.ForwarderFixture.bytes;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.completeStream;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.fail;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.headers;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.interruptedStream;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.respondWith;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.signed;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Consumer;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.testing.FakeEndpointClient;
import org.cardamomthread.daemon.testing.RecordedExchange;
import org.cardamomthread.daemon.testing.TestPlatformDialect;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the response that clients receive, and the number of attempts, for each behaviour of the
 * endpoints.
 */
public class ForwardedCallTests {

    private static final int PART_BYTES = 64 * 1024;
    private static final int ENDLESS_PARTS = 40;

    private ForwarderFixture fixture;
    private FakeEndpointClient client;

    @BeforeMethod
    public void createForwarder() {
        fixture = new ForwarderFixture();
        client = fixture.client();
    }

    @DataProvider
    public Object[][] singleAttempts() {
        Consumer<EndpointResponseListener> connectionLost = fail(Kind.CONNECTION_LOST);
        return new Object[][] {
            {"complete response", RequestKind.ONCE_PER_ATTEMPT, respond(200, true, false), 200},
            {"unsigned success", RequestKind.ONCE_PER_ATTEMPT, respond(200, false, false), 502},
            {"endpoint failure", RequestKind.ONCE_PER_ATTEMPT, respond(500, true, false), 500},
            {"stated not run", RequestKind.ONCE_PER_ATTEMPT, respond(503, false, true), 503},
            {"lost response", RequestKind.ONCE_PER_ATTEMPT, connectionLost, 502},
            {"mismatched response", RequestKind.STREAM, fail(Kind.MISMATCHED_ANSWER), 502},
            {"first byte timeout", RequestKind.STREAM, fail(Kind.FIRST_BYTE_TIMEOUT), 502},
            {"interrupted before an event", RequestKind.STREAM, interruptedStream(""), 502},
        };
    }

    @Test(dataProvider = "singleAttempts")
    public void returnsStatusThatMatchesSingleAttempt(
            String name,
            RequestKind requestKind,
            Consumer<EndpointResponseListener> endpointBehaviour,
            int expectedStatus) {
        client.addScript(endpointBehaviour);
        RecordedExchange exchange = send(requestKind, 1);
        assertEquals(exchange.getStatus(), expectedStatus, name);
        assertEquals(client.getAttemptCount(), 1, name);
    }

    @DataProvider
    public Object[][] failuresThatStateNothing() {
        return new Object[][] {
            {RequestKind.ONCE_PER_ATTEMPT, 503, 502}, {RequestKind.ONCE_PER_ATTEMPT, 429, 502},
            {RequestKind.STREAM, 503, 502}, {RequestKind.STREAM, 429, 502},
            {RequestKind.ONCE_PER_ATTEMPT, 500, 500}, {RequestKind.STREAM, 404, 404},
            {RequestKind.REPEATABLE, 503, 503}, {RequestKind.RESUMABLE_STREAM, 429, 429},
        };
    }

    /** Guards against a client that repeats a request which its endpoint has run and failed. */
    @Test(dataProvider = "failuresThatStateNothing")
    public void neverPassesOnAFailureOfARunAsNotRun(
            RequestKind requestKind, int endpointStatus, int expectedStatus) {
        client.addScript(respond(endpointStatus, true, false));
        RecordedExchange exchange = send(requestKind, 1);
        assertEquals(exchange.getStatus(), expectedStatus);
        boolean isUnchanged = endpointStatus == expectedStatus;
        assertEquals(
                exchange.getResponseHeader(TestPlatformDialect.SIGNATURE) != null, isUnchanged);
        assertEquals(exchange.getBody().contains("\"execution\":\"unknown\""), !isUnchanged);
    }

    @DataProvider
    public Object[][] firstAttemptOutcomes() {
        Consumer<EndpointResponseListener> connectionLost = fail(Kind.CONNECTION_LOST);
        Consumer<EndpointResponseListener> notRun = respond(503, false, true);
        Consumer<EndpointResponseListener> mismatched = fail(Kind.MISMATCHED_ANSWER);
        return new Object[][] {
            {"lost, repeatable", RequestKind.REPEATABLE, connectionLost, 2, 200},
            {"lost, once", RequestKind.ONCE_PER_ATTEMPT, connectionLost, 1, 502},
            {"lost stream", RequestKind.STREAM, connectionLost, 1, 502},
            {"lost resumable stream", RequestKind.RESUMABLE_STREAM, connectionLost, 2, 200},
            {"mismatched, repeatable", RequestKind.REPEATABLE, mismatched, 2, 200},
            {"mismatched, once", RequestKind.ONCE_PER_ATTEMPT, mismatched, 1, 502},
            {"not run, once", RequestKind.ONCE_PER_ATTEMPT, notRun, 2, 200},
            {"not run, stream", RequestKind.STREAM, notRun, 2, 200},
            {"failed, repeatable", RequestKind.REPEATABLE, respond(500, true, false), 2, 200},
            {"failed, once", RequestKind.ONCE_PER_ATTEMPT, respond(500, true, false), 1, 500},
            {"unsigned, repeatable", RequestKind.REPEATABLE, respond(200, false, false), 2, 200},
            {"not sent, once", RequestKind.ONCE_PER_ATTEMPT, fail(Kind.NOT_SENT), 2, 200},
        };
    }

    @Test(dataProvider = "firstAttemptOutcomes")
    public void retriesOnlyWhenSafe(
            String name,
            RequestKind requestKind,
            Consumer<EndpointResponseListener> firstBehaviour,
            int expectedAttempts,
            int expectedStatus) {
        client.addScript(firstBehaviour);
        client.addScript(requestKind.isStream() ? completeStream() : respond(200, true, false));
        RecordedExchange exchange = send(requestKind, 2);
        assertEquals(client.getAttemptCount(), expectedAttempts, name);
        assertEquals(exchange.getStatus(), expectedStatus, name);
    }

    @Test
    public void resumesStreamAfterLastCompleteEvent() {
        client.addScript(interruptedStream("id: 1\ndata: a\n\nid: 2\ndat"));
        client.addScript(
                listener -> {
                    listener.onHead(200, signed());
                    listener.onBodyPart(bytes("id: 2\ndata: b\n\n"));
                    listener.onComplete();
                });
        RecordedExchange exchange = send(RequestKind.RESUMABLE_STREAM, 2);
        assertEquals(exchange.getBody(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertTrue(exchange.isComplete());
        assertEquals(client.getRequest(1).headers().get("last-event-id"), "1");
    }

    @Test
    public void abortsInterruptedStream() {
        client.addScript(interruptedStream("id: 1\ndata: a\n\n"));
        RecordedExchange exchange = send(RequestKind.STREAM, 2);
        assertTrue(exchange.isAborted());
        assertFalse(exchange.isComplete());
        assertEquals(client.getAttemptCount(), 1);
    }

    @DataProvider
    public Object[][] attemptsAfterABrokenStream() {
        return new Object[][] {
            {"failure", respond(404, true, false)},
            {"server error", respond(500, true, false)},
            {"unsigned success", respond(200, false, false)},
            {"not run", respond(503, false, true)},
            {"starts again", streamOf("id: 1\ndata: a\n\n")},
            {"leaves a gap", streamOf("id: 5\ndata: e\n\n")},
            {"goes back later", streamOf("id: 2\ndata: b\n\nid: 1\ndata: a\n\n")},
            {"ends inside an event", streamOf("id: 2\ndata: b\n\nid: 3\nda")},
            {"no content", respondWith(204, signed(), "")},
            {"no event", streamOf("")},
            {"no event stream", respondWith(200, signed("application/json"), "{}")},
            {"large failure", endless(404, true).andThen(EndpointResponseListener::onComplete)},
            {"failure that is lost", endless(500, true).andThen(fail(Kind.CONNECTION_LOST))},
            {"redirect", respondWith(302, signed(), "id: 2\ndata: body\n\n")},
            {
                "failure with events",
                respondWith(500, signed("text/event-stream"), "id: 2\ndata: body\n\n")
            },
            {
                "error with events",
                respondWith(404, signed("text/event-stream"), "id: 2\ndata: body\n\n")
            },
            {"protocol change", respondWith(101, signed(), "body")},
        };
    }

    @Test(dataProvider = "attemptsAfterABrokenStream")
    public void neverCompletesABrokenStreamWithAnAttemptThatDoesNotResumeIt(
            String name, Consumer<EndpointResponseListener> secondAttempt) {
        client.addScript(interruptedStream("id: 1\ndata: a\n\nid: 2\ndat"));
        client.addScript(secondAttempt);
        RecordedExchange exchange = send(RequestKind.RESUMABLE_STREAM, 2);
        assertFalse(exchange.isComplete(), name);
        assertTrue(exchange.isAborted(), name);
        assertTrue(exchange.getBody().startsWith("id: 1\ndata: a\n\n"), exchange.getBody());
        assertFalse(exchange.getBody().matches("(?s).*(body|xx).*"), exchange.getBody());
    }

    @DataProvider
    public Object[][] streamsThatEndInsideAnEvent() {
        return new Object[][] {
            {"resumable", RequestKind.RESUMABLE_STREAM, "id: 1\ndata: a\n\nid: 2\ndat"},
            {"not resumable", RequestKind.STREAM, "id: 1\ndata: a\n\nid: 2\ndat"},
            {"after a line", RequestKind.STREAM, "id: 1\ndata: a\n\nid: 2\n"},
            {"with CR line ends", RequestKind.STREAM, "id: 1\rdata: a\r\rid: 2\r"},
            {"with CRLF line ends", RequestKind.STREAM, "id: 1\r\ndata: a\r\n\r\nid: 2\r\n"},
        };
    }

    @Test(dataProvider = "streamsThatEndInsideAnEvent")
    public void neverCompletesAStreamThatEndsInsideAnEvent(
            String name, RequestKind requestKind, String stream) {
        client.addScript(streamOf(stream));
        RecordedExchange exchange = send(requestKind, 1);
        assertFalse(exchange.isComplete(), name);
        assertTrue(exchange.isAborted(), name);
    }

    @DataProvider
    public Object[][] streamsWithoutAnEvent() {
        return new Object[][] {
            {"resumable", RequestKind.RESUMABLE_STREAM, "id: 1\nda"},
            {"not resumable", RequestKind.STREAM, ""},
            {"empty, resumable", RequestKind.RESUMABLE_STREAM, ""},
        };
    }

    @Test(dataProvider = "streamsWithoutAnEvent")
    public void failsAStreamThatEndsBeforeItsFirstEvent(
            String name, RequestKind requestKind, String stream) {
        client.addScript(streamOf(stream));
        RecordedExchange exchange = send(requestKind, 1);
        assertEquals(exchange.getStatus(), 502, name);
    }

    @DataProvider
    public Object[][] lineEnds() {
        return new Object[][] {{"\n"}, {"\r"}, {"\r\n"}};
    }

    @Test(dataProvider = "lineEnds")
    public void resumesStreamWithAnyLineEnds(String lineEnd) {
        String first = "id: 1" + lineEnd + "data: a" + lineEnd + lineEnd;
        String second = "id: 2" + lineEnd + "data: b" + lineEnd + lineEnd;
        client.addScript(interruptedStream(first + "id: 2" + lineEnd));
        client.addScript(streamOf(second));
        RecordedExchange exchange = send(RequestKind.RESUMABLE_STREAM, 2);
        assertEquals(exchange.getBody(), first + second);
        assertTrue(exchange.isComplete());
        assertEquals(client.getRequest(1).headers().get("last-event-id"), "1");
    }

    @DataProvider
    public Object[][] oversizedResponses() {
        return new Object[][] {
            {"failure", RequestKind.ONCE_PER_ATTEMPT, 500, true, 1, 502},
            {"failure, repeatable", RequestKind.REPEATABLE, 500, true, 2, 200},
            {"unsigned success", RequestKind.ONCE_PER_ATTEMPT, 200, false, 1, 502},
            {"event without an end", RequestKind.RESUMABLE_STREAM, 200, true, 2, 200},
        };
    }

    @Test(dataProvider = "oversizedResponses")
    public void endsAnAttemptWhoseBytesCompleteNoResponse(
            String name,
            RequestKind requestKind,
            int status,
            boolean isSigned,
            int expectedAttempts,
            int expectedStatus) {
        client.addScript(endless(status, isSigned));
        client.addScript(requestKind.isStream() ? completeStream() : respond(200, true, false));
        RecordedExchange exchange = send(requestKind, 2);
        assertTrue(client.isCancelled(0), name);
        assertEquals(client.getAttemptCount(), expectedAttempts, name);
        assertEquals(exchange.getStatus(), expectedStatus, name);
    }

    @Test
    public void passesALongResponseOnWithoutHoldingItBack() {
        client.addScript(
                listener -> {
                    endless(200, true).accept(listener);
                    listener.onComplete();
                });
        RecordedExchange exchange = send(RequestKind.REPEATABLE, 2);
        assertEquals(exchange.getBody().length(), ENDLESS_PARTS * PART_BYTES);
        assertTrue(exchange.isComplete());
    }

    @Test
    public void neverContinuesALongResponseWithThatOfAnotherAttempt() {
        client.addScript(
                listener -> {
                    endless(200, true).accept(listener);
                    listener.onFailure(FakeEndpointClient.createFailure(Kind.CONNECTION_LOST));
                });
        RecordedExchange exchange = send(RequestKind.REPEATABLE, 2);
        assertTrue(exchange.isAborted());
        assertFalse(exchange.isComplete());
        assertEquals(client.getAttemptCount(), 1);
    }

    @Test
    public void setsRetryAfterWhenRequestDidNotRun() {
        client.addScript(respond(503, false, true));
        RecordedExchange exchange = send(RequestKind.ONCE_PER_ATTEMPT, 1);
        assertTrue(Double.parseDouble(exchange.getResponseHeader("retry-after")) > 0);
        assertTrue(exchange.getBody().contains("\"execution\":\"not-run\""), exchange.getBody());
    }

    @Test
    public void cancelsAttemptWhenClientDisconnects() {
        client.addScript(listener -> {});
        RecordedExchange exchange = send(RequestKind.STREAM, 1);
        exchange.disconnect();
        assertTrue(client.isCancelled(0));
    }

    @Test
    public void rejectsKeyedRequestWithoutViewLease() {
        fixture.time().advanceMs(ForwarderFixture.LEASE_MS);
        RecordedExchange exchange = send(RequestKind.REPEATABLE, 1);
        assertEquals(exchange.getStatus(), 503);
        assertEquals(client.getAttemptCount(), 0);
    }

    @Test
    public void preventsSendAfterViewLeaseExpires() {
        client.addScript(listener -> {});
        send(RequestKind.REPEATABLE, 1);
        assertTrue(client.getRequest(0).maySend().getAsBoolean());
        fixture.time().advanceMs(ForwarderFixture.LEASE_MS);
        assertFalse(client.getRequest(0).maySend().getAsBoolean());
    }

    @DataProvider
    public Object[][] rejections() {
        return new Object[][] {
            {"/none/x", "key", 404},
            {"/a/x", "other", 401},
            {"/a/x", null, 401},
        };
    }

    @Test(dataProvider = "rejections")
    public void rejectsUnknownRouteOrKey(String path, String key, int expectedStatus) {
        fixture.forwarder().applyView(ForwarderFixture.view(RequestKind.REPEATABLE, 1));
        RecordedExchange exchange = new RecordedExchange(path, "", headers(key));
        fixture.forwarder().getHandler().handle(exchange);
        assertEquals(exchange.getStatus(), expectedStatus);
    }

    @DataProvider
    public Object[][] viewAges() {
        return new Object[][] {
            {"/none/x", "key", 999L, 404}, {"/none/x", "key", 1_000L, 503},
            {"/a/x", "other", 999L, 401}, {"/a/x", "other", 1_000L, 503},
            {"/a/x", "key", 1_000L, 200},
        };
    }

    /** A change that the view does not have yet may have added the route or the key. */
    @Test(dataProvider = "viewAges")
    public void refusesForGoodOnlyByACurrentView(
            String path, String key, long viewAgeMs, int expectedStatus) {
        client.addScript(respond(200, true, false));
        fixture.forwarder().applyView(ForwarderFixture.view(RequestKind.REPEATABLE, 1));
        fixture.time().advanceMs(viewAgeMs);
        RecordedExchange exchange = new RecordedExchange(path, "", headers(key));
        fixture.forwarder().getHandler().handle(exchange);
        assertEquals(exchange.getStatus(), expectedStatus);
    }

    @Test
    public void returns503BeforeFirstDocument() {
        RecordedExchange exchange = new RecordedExchange("/a/x", "", headers("key"));
        fixture.forwarder().getHandler().handle(exchange);
        assertEquals(exchange.getStatus(), 503);
    }

    private RecordedExchange send(RequestKind requestKind, int maxAttempts) {
        return fixture.send(requestKind, maxAttempts);
    }

    private static Consumer<EndpointResponseListener> streamOf(String stream) {
        return respondWith(200, signed("text/event-stream"), stream);
    }

    private static Consumer<EndpointResponseListener> respond(
            int status, boolean isSigned, boolean isStatedNotRun) {
        return listener -> {
            HttpHeaders headers = isSigned ? signed() : new DefaultHttpHeaders();
            if (isStatedNotRun) {
                headers.set(TestPlatformDialect.NOT_RUN, "1");
            }
            listener.onHead(status, headers);
            listener.onBodyPart(bytes("body"));
            listener.onComplete();
        };
    }

    private static Consumer<EndpointResponseListener> endless(int status, boolean isSigned) {
        return listener -> {
            listener.onHead(status, isSigned ? signed() : new DefaultHttpHeaders());
            for (int i = 0; i < ENDLESS_PARTS; i++) {
                listener.onBodyPart(bytes("x".repeat(PART_BYTES)));
            }
        };
    }
}
