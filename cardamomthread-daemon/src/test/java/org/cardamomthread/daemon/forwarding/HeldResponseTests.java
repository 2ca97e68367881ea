package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.testing.FakeEndpointClient;
import org.cardamomthread.daemon.testing.RecordedExchange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays endpoints that send much to many requests at once, before a response is complete. */
public class HeldResponseTests {

    private static final int REQUESTS = 100;
    private static final int PART_BYTES = 16 * 1024;

    /** Less than a single response may hold back. */
    private static final int PARTS = 60;

    /** A quarter of the heap with which deploy/system.toml starts a gateway. */
    private static final long MAX_HELD_BYTES = 56L * 1024 * 1024 / 4;

    private ForwarderFixture fixture;
    private FakeEndpointClient client;
    private final List<EndpointResponseListener> attempts = new ArrayList<>();

    @BeforeMethod
    public void createForwarder() {
        fixture = new ForwarderFixture();
        client = fixture.client();
        attempts.clear();
    }

    @DataProvider
    public Object[][] heldResponses() {
        return new Object[][] {
            {"an event", RequestKind.RESUMABLE_STREAM, 200},
            {"a body", RequestKind.REPEATABLE, 200},
            {"a failure", RequestKind.REPEATABLE, 500},
        };
    }

    /** Guards against a faulty endpoint whose responses fill the memory of a gateway. */
    @Test(dataProvider = "heldResponses")
    public void requestsTogetherHoldLittleOfTheirResponses(
            String name, RequestKind requestKind, int status) {
        List<RecordedExchange> exchanges = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            client.addScript(
                    attempt -> {
                        attempts.add(attempt);
                        attempt.onHead(status, ForwarderFixture.signed());
                    });
            exchanges.add(fixture.send(requestKind, 1));
        }
        for (int part = 0; part < PARTS; part++) {
            for (int i = 0; i < REQUESTS; i++) {
                if (isHeld(exchanges.get(i), i)) {
                    attempts.get(i).onBodyPart(new byte[PART_BYTES]);
                }
            }
        }
        long heldBytes = 0;
        for (int i = 0; i < REQUESTS; i++) {
            heldBytes += isHeld(exchanges.get(i), i) ? (long) PARTS * PART_BYTES : 0;
        }
        assertTrue(heldBytes > 0, "no response is held back");
        assertTrue(heldBytes <= MAX_HELD_BYTES, heldBytes + " bytes of " + name);
    }

    private boolean isHeld(RecordedExchange exchange, int attempt) {
        return exchange.getStatus() == 0 && !client.isCancelled(attempt);
    }

    /** What was held must not count for good. */
    @Test
    public void responsesThatEndedLeaveRoomForOthers() {
        for (int i = 0; i < REQUESTS; i++) {
            client.addScript(
                    attempt -> {
                        attempt.onHead(200, ForwarderFixture.signed());
                        for (int part = 0; part < PARTS; part++) {
                            attempt.onBodyPart(new byte[PART_BYTES]);
                        }
                        attempt.onComplete();
                    });
            RecordedExchange exchange = fixture.send(RequestKind.REPEATABLE, 1);
            assertEquals(exchange.getStatus(), 200);
            assertEquals(exchange.getBody().length(), PARTS * PART_BYTES);
        }
    }
}
