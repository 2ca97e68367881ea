package org.cardamomthread.daemon.forwarding;

import static org.cardamomthread.daemon.forwarding.ForwarderFixture.bytes;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.respondWith;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.signed;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.testing.FakeEndpointClient;
import org.cardamomthread.daemon.testing.RecordedExchange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what clients of a gateway receive that is being stopped. */
public class StoppingGatewayTests {

    private ForwarderFixture fixture;
    private FakeEndpointClient client;
    private EndpointResponseListener open;

    @BeforeMethod
    public void createForwarder() {
        fixture = new ForwarderFixture();
        client = fixture.client();
    }

    @DataProvider
    public Object[][] remainingTimes() {
        return new Object[][] {
            {"time limit fits", ForwarderFixture.ROUTE_TIMEOUT_MS, 0L, 200},
            {"time limit does not fit", ForwarderFixture.ROUTE_TIMEOUT_MS - 1, 0L, 503},
            {"recent duration fits", 1_000L, 800L, 200},
            {"recent duration does not fit", 999L, 800L, 503},
            {"no time left", 0L, 1L, 503},
        };
    }

    @Test(dataProvider = "remainingTimes")
    public void takesOnlyRequestsThatAreLikelyToEnd(
            String name, long remainingMs, long recentDurationMs, int expectedStatus) {
        if (recentDurationMs > 0) {
            client.addScript(listener -> open = listener);
            fixture.send(RequestKind.ONCE_PER_ATTEMPT, 1);
            fixture.time().advanceMs(recentDurationMs);
            fixture.renewLease();
            respondWith(200, signed(), "body").accept(open);
        }
        int before = client.getAttemptCount();
        fixture.forwarder().stopAt(fixture.time().monotonicMs() + remainingMs);
        client.addScript(respondWith(200, signed(), "body"));
        RecordedExchange exchange = fixture.send(RequestKind.ONCE_PER_ATTEMPT, 1);
        assertEquals(exchange.getStatus(), expectedStatus, name);
        assertEquals(client.getAttemptCount() - before, expectedStatus == 200 ? 1 : 0, name);
        if (expectedStatus == 503) {
            assertTrue(exchange.getBody().contains("not-run"), exchange.getBody());
            assertEquals(exchange.getResponseHeader("retry-after"), "0.0");
        }
    }

    @DataProvider
    public Object[][] requestKinds() {
        return new Object[][] {
            {RequestKind.ONCE_PER_ATTEMPT}, {RequestKind.REPEATABLE}, {RequestKind.STREAM},
        };
    }

    /** The endpoint has the request, so that it must not be declared as not run. */
    @Test(dataProvider = "requestKinds")
    public void answersOpenRequestThatMayHaveRun(RequestKind kind) {
        client.addScript(listener -> {});
        RecordedExchange exchange = fixture.send(kind, 2);
        fixture.forwarder().endOpenRequests();
        assertEquals(exchange.getStatus(), 502);
        assertTrue(exchange.getBody().contains("unknown"), exchange.getBody());
        assertTrue(client.isCancelled(0));
    }

    @Test
    public void breaksOffStreamThatHasBegun() {
        client.addScript(
                listener -> {
                    listener.onHead(200, signed());
                    listener.onBodyPart(bytes("id: 1\ndata: a\n\n"));
                });
        RecordedExchange exchange = fixture.send(RequestKind.RESUMABLE_STREAM, 2);
        fixture.forwarder().endOpenRequests();
        assertTrue(exchange.isAborted());
        assertFalse(exchange.isComplete());
    }

    @Test
    public void endsNoRequestThatHasBeenAnswered() {
        client.addScript(respondWith(200, signed(), "body"));
        RecordedExchange exchange = fixture.send(RequestKind.REPEATABLE, 1);
        fixture.forwarder().endOpenRequests();
        assertEquals(exchange.getBody(), "body");
    }
}
