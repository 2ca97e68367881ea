package org.cardamomthread.daemon.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cardamomthread.daemon.testing.RawEndpoint;
import org.testng.annotations.Test;

/** Tests {@link HttpPlatformClient}. */
public class HttpPlatformClientTests {

    private static final long TIMEOUT_S = 5;
    private static final String NO_NOTICES = response("[]");
    private static final String PRICES =
            response(
                    "[{\"dataCentre\": \"perth-a\", \"endpointClass\": \"large\","
                            + " \"priceClass\": \"reclaimable\", \"pricePerHour\": 2.5}]");

    /** Guards against prices that are gone because a page of notices was sent twice. */
    @Test
    public void neverTakesALateSecondResponseForTheOneToTheNextCall() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        RawEndpoint.Script script =
                (connection, id) -> {
                    boolean isFirstCall = calls.incrementAndGet() == 1;
                    boolean isKept = connection.requests() > 1;
                    connection.write(
                            isFirstCall ? NO_NOTICES : (isKept ? NO_NOTICES : "") + PRICES);
                };
        try (RawEndpoint platform = new RawEndpoint(script);
                HttpPlatformClient client = new HttpPlatformClient(platform.address())) {
            assertEquals(client.listNotices(7).get(TIMEOUT_S, TimeUnit.SECONDS).lastSequence(), 7);
            assertEquals(client.listPrices().get(TIMEOUT_S, TimeUnit.SECONDS).size(), 1);
        }
    }

    /** Guards against a page that is read from bytes which are no response. */
    @Test
    public void failsACallWithoutAValidStatusLine() throws Exception {
        RawEndpoint.Script script =
                (connection, id) -> connection.write(NO_NOTICES.replace("200 OK", "0200 OK"));
        try (RawEndpoint platform = new RawEndpoint(script);
                HttpPlatformClient client = new HttpPlatformClient(platform.address())) {
            expectThrows(
                    ExecutionException.class,
                    () -> client.listNotices(7).get(TIMEOUT_S, TimeUnit.SECONDS));
        }
    }

    private static String response(String body) {
        return "HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
    }
}
