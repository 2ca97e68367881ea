package org.cardamomthread.daemon.forwarding;

import static org.cardamomthread.daemon.forwarding.ForwarderFixture.bytes;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.respondWith;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.signed;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.testing.FakeEndpointClient;
import org.cardamomthread.daemon.testing.RecordedExchange;
import org.cardamomthread.daemon.testing.TestEndpoints;
import org.cardamomthread.daemon.testing.TestPlatformDialect;
import org.cardamomthread.daemon.view.GatewayView;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers get whose requests wait because the only endpoint is full. */
public class WaitingRoomsTests {

    private static final int SLOTS = 8;
    private static final long STEP_MS = 50;

    private final List<EndpointResponseListener> open = new ArrayList<>();
    private EmbeddedChannel channel;
    private ForwarderFixture fixture;
    private FakeEndpointClient client;

    @BeforeMethod
    public void createForwarder() {
        open.clear();
        channel = new EmbeddedChannel();
        fixture = new ForwarderFixture(channel.eventLoop(), Runnable::run);
        client = fixture.client();
        fixture.forwarder().applyView(view(1, false));
    }

    private static GatewayView view(int maxAttempts, boolean isLeaving) {
        return ForwarderFixture.view(
                RequestKind.ONCE_PER_ATTEMPT,
                maxAttempts,
                TestEndpoints.createEndpoints(ForwarderFixture.CHAT, 1, isLeaving),
                Set.of());
    }

    private static HttpHeaders load(int running, int waiting) {
        return signed().set(TestPlatformDialect.LOAD, running + "," + waiting + "," + SLOTS);
    }

    private void beginFull(EndpointResponseListener listener) {
        listener.onHead(200, load(SLOTS, 1));
        open.add(listener);
    }

    /** Sends a request whose response begins and tells that the endpoint is full. */
    private void fillEndpoint() {
        client.addScript(this::beginFull);
        fixture.send();
    }

    private void end(EndpointResponseListener listener) {
        listener.onBodyPart(bytes("body"));
        listener.onComplete();
    }

    private void advance(long durationMs) {
        for (long passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
            fixture.time().advanceMs(STEP_MS);
            channel.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    @Test
    public void sendsWaitingRequestWhenAnAttemptEnds() {
        fillEndpoint();
        client.addScript(respondWith(200, load(1, 0), "later"));
        RecordedExchange waiting = fixture.send();
        assertEquals(client.getAttemptCount(), 1);
        assertEquals(waiting.getStatus(), 0);
        advance(100);
        end(open.get(0));
        assertEquals(waiting.getBody(), "later");
    }

    /** Guards against a queue that is stuck after the last response from a full endpoint. */
    @Test
    public void sendsWaitingRequestsOnceReportsAreStale() {
        fillEndpoint();
        List<RecordedExchange> waiting = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            client.addScript(respondWith(200, load(1, 0), "later"));
            waiting.add(fixture.send());
        }
        advance(1_600);
        waiting.forEach(exchange -> assertEquals(exchange.getBody(), "later"));
    }

    /** Guards against a flood when a report shows room for fewer requests than wait. */
    @Test
    public void sendsNoMoreThanThereIsRoomFor() {
        fillEndpoint();
        for (int i = 0; i < 20; i++) {
            client.addScript(open::add);
            fixture.send();
        }
        assertEquals(client.getAttemptCount(), 1);
        open.get(0).onHead(200, load(SLOTS - 2, 0));
        advance(500);
        assertEquals(client.getAttemptCount(), 1 + 3);
    }

    /** Guards against a first attempt after a wait that is taken for a retry. */
    @Test
    public void spendsNoRetryForWaiting() {
        for (int i = 0; i < 100; i++) {
            client.addScript(this::beginFull);
        }
        fixture.send();
        RecordedExchange last = null;
        for (int i = 0; i < 99; i++) {
            last = fixture.send();
            assertEquals(last.getStatus(), 0);
            end(open.get(i));
        }
        end(open.get(99));
        assertEquals(last.getStatus(), 200);
    }

    @Test
    public void waitsAfterRefusalAndTriesTheSameEndpointAgain() {
        fixture.forwarder().applyView(view(2, false));
        client.addScript(
                respondWith(
                        503, new DefaultHttpHeaders().set(TestPlatformDialect.NOT_RUN, "1"), ""));
        client.addScript(respondWith(200, signed(), "later"));
        RecordedExchange exchange = fixture.send();
        assertEquals(client.getAttemptCount(), 1);
        advance(400);
        assertEquals(exchange.getBody(), "later");
    }

    /**
     * Guards against a wait in vain: a retry that the budget does not permit is refused at once.
     */
    @Test
    public void refusesRetryBeyondBudgetBeforeItWaits() {
        fixture.forwarder().applyView(view(2, false));
        HttpHeaders notRun = new DefaultHttpHeaders().set(TestPlatformDialect.NOT_RUN, "1");
        RecordedExchange last = null;
        for (int i = 0; i < 300 && (last == null || last.getStatus() != 503); i++) {
            client.addScript(respondWith(503, notRun, ""));
            client.addScript(respondWith(200, signed(), "later"));
            last = fixture.send();
            if (last.getStatus() == 0) {
                advance(350);
                assertEquals(last.getBody(), "later");
                fixture.renewLease();
            }
        }
        assertEquals(last.getStatus(), 503);
        assertTrue(last.getBody().contains("no-repeat"), last.getBody());
    }

    private static GatewayView withoutKeys() {
        GatewayView view = view(1, false);
        TrafficDocument document = view.routes().orElseThrow().document();
        TrafficDocument newer =
                new TrafficDocument(2, document.routes(), document.services(), List.of());
        return ForwarderFixture.view(newer, view.endpoints(), Set.of());
    }

    @DataProvider
    public Object[][] endsOfWait() {
        Consumer<WaitingRoomsTests> stop =
                test -> test.fixture.forwarder().stopAt(test.fixture.time().monotonicMs() + 9_000);
        Consumer<WaitingRoomsTests> leave =
                test -> test.fixture.forwarder().applyView(view(1, true));
        Consumer<WaitingRoomsTests> revoke =
                test -> test.fixture.forwarder().applyView(withoutKeys());
        Consumer<WaitingRoomsTests> lease = test -> test.advanceWithFullEndpoint(3_800);
        Consumer<WaitingRoomsTests> limit =
                test -> {
                    test.advanceWithFullEndpoint(3_000);
                    test.fixture.renewLease();
                    test.advanceWithFullEndpoint(2_100);
                };
        return new Object[][] {
            {"planned stop", stop, 503, "gateway-stopping", "0.0"},
            {"leave of the endpoint", leave, 503, "no-endpoint", null},
            {"revoked key", revoke, 401, "unknown-key", null},
            {"lost view", lease, 503, "no-view", "0.5"},
            {"time limit", limit, 503, "too-late", null},
        };
    }

    private void advanceWithFullEndpoint(long durationMs) {
        for (long passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
            open.get(0).onHead(200, load(SLOTS, 2));
            advance(STEP_MS);
        }
    }

    /** Guards against requests held until their time limit, and against a false "not run". */
    @Test(dataProvider = "endsOfWait")
    public void refusesWaitingRequestAsNotRun(
            String name,
            Consumer<WaitingRoomsTests> event,
            int status,
            String type,
            String retryAfter) {
        fillEndpoint();
        RecordedExchange waiting = fixture.send();
        event.accept(this);
        assertEquals(waiting.getStatus(), status, name);
        assertTrue(waiting.getBody().contains(type), waiting.getBody());
        assertTrue(waiting.getBody().contains("not-run"), waiting.getBody());
        if (status == 503) {
            String header = waiting.getResponseHeader("retry-after");
            assertTrue(retryAfter == null || retryAfter.equals(header), header);
            assertTrue(Double.parseDouble(header) >= 0, header);
        }
        assertEquals(client.getAttemptCount(), 1, name);
    }

    @Test
    public void forgetsRequestWhoseClientLeaves() {
        fillEndpoint();
        RecordedExchange waiting = fixture.send();
        waiting.disconnect();
        end(open.get(0));
        advance(2_000);
        assertEquals(client.getAttemptCount(), 1);
        assertFalse(waiting.isComplete());
    }

    /** Guards against a queue without bound. */
    @Test
    public void boundsTheNumberOfWaitingRequests() {
        fillEndpoint();
        for (int i = 0; i < WaitingLimits.DEFAULT.maxRequests(); i++) {
            assertEquals(fixture.send().getStatus(), 0);
        }
        RecordedExchange refused = fixture.send();
        assertEquals(refused.getStatus(), 503);
        assertTrue(refused.getBody().contains("queue-full"), refused.getBody());
        assertTrue(Double.parseDouble(refused.getResponseHeader("retry-after")) >= 0.3);
    }
}
