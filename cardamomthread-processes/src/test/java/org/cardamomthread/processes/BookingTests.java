package org.cardamomthread.processes;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.standin.service.PlainService;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests calls to a plain service that must run at most once. */
@Test(groups = "processes")
public class BookingTests {

    private static final String BOOKINGS = "/services/bookings/bookings";

    private Cluster cluster;
    private int bookings;

    @BeforeClass
    public void start() throws Exception {
        cluster = new Cluster("bookings");
        bookings = cluster.startBookings("app-1", "perth-b");
        cluster.startNodes();
        cluster.awaitServed(BOOKINGS, "{}");
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        cluster.close();
    }

    @BeforeMethod
    public void clearFaults() throws Exception {
        cluster.calls().clearFaults(bookings);
    }

    @DataProvider
    public Object[][] nodes() {
        return cluster.nodes().stream()
                .map(node -> new Object[] {node.id()})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "nodes")
    public void forwardsBooking(String node) throws Exception {
        String body = "{\"venue\":\"" + node + "\"}";
        HttpResponse<String> response = cluster.call(node, BOOKINGS, body, UUID.randomUUID());
        assertEquals(response.statusCode(), 200, response.body());
        assertEquals(digestIn(response), PlainService.bodyDigest(body.getBytes()));
    }

    @Test
    public void runsBookingOnceWhenResentToAnotherNode() throws Exception {
        UUID key = UUID.randomUUID();
        HttpResponse<String> first = cluster.call("perth-a-1", BOOKINGS, "{\"n\":1}", key);
        HttpResponse<String> second = cluster.call("perth-b-1", BOOKINGS, "{\"n\":1}", key);
        assertEquals(first.statusCode(), 200, first.body());
        assertEquals(second.statusCode(), 200, second.body());
        assertEquals(second.body(), first.body());
        assertEquals(runs(key), 1);
    }

    @Test
    public void runsBookingOnceWhenSentToAllNodesConcurrently() throws Exception {
        for (int round = 0; round < 10; round++) {
            UUID key = UUID.randomUUID();
            List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
            for (NodePorts node : cluster.nodes()) {
                Map<String, String> headers = Map.of("Idempotency-Key", key.toString());
                responses.add(cluster.calls().callAsync(node.callers(), BOOKINGS, "{}", headers));
            }
            boolean hasSucceeded = false;
            for (CompletableFuture<HttpResponse<String>> response : responses) {
                hasSucceeded |= response.get().statusCode() == 200;
            }
            assertTrue(hasSucceeded, "at least one of the three calls must succeed");
            assertEquals(runs(key), 1);
        }
    }

    @Test
    public void rejectsReusedKeyWithDifferentBody() throws Exception {
        UUID key = UUID.randomUUID();
        cluster.call("perth-a-1", BOOKINGS, "{\"n\":1}", key);
        HttpResponse<String> other = cluster.call("perth-a-2", BOOKINGS, "{\"n\":2}", key);
        assertTrue(other.statusCode() >= 400, other.body());
        assertEquals(runs(key), 1);
    }

    @DataProvider
    public Object[][] responseFaults() {
        return new Object[][] {
            {"reset-before-run"}, {"reset-before-first-byte"}, {"reset-after-first-byte"},
            {"truncated"}, {"crossed"}, {"duplicated"},
        };
    }

    @Test(dataProvider = "responseFaults")
    public void runsBookingAtMostOnceDespiteResponseFault(String kind) throws Exception {
        UUID key = UUID.randomUUID();
        cluster.calls().injectFault(bookings, "{\"kind\":\"" + kind + "\",\"count\":1}");
        HttpResponse<String> first = cluster.call("perth-a-1", BOOKINGS, "{}", key);
        int runsOfFirst = runs(key);
        if (first.statusCode() == 200) {
            assertEquals(digestIn(first), PlainService.bodyDigest("{}".getBytes()));
        } else if (execution(first).equals("not-run")) {
            assertEquals(runsOfFirst, 0, first.body());
        }
        cluster.call("perth-b-1", BOOKINGS, "{}", key);
        assertTrue(runs(key) <= 1, runs(key) + " runs after " + first.body());
    }

    private int runs(UUID key) throws Exception {
        JsonNode record = cluster.calls().get(bookings, "/v1/record");
        return record.path("runsByKey").path(key.toString()).asInt(0);
    }

    private static String digestIn(HttpResponse<String> response) throws Exception {
        return HttpCalls.json(response.body()).path("bodyDigest").asText();
    }

    private static String execution(HttpResponse<String> response) throws Exception {
        return HttpCalls.json(response.body()).path("execution").asText();
    }
}
