package org.cardamomthread.processes.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.processes.Waits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what callers of a gateway receive while it is stopped with SIGTERM. */
@Test(groups = "processes")
public class FleetShutdownTests {

    private static final Duration TIME_LIMIT = Duration.ofSeconds(12);

    /** Times after the signal at which requests are sent; the gateway stops after 7.3 s. */
    private static final long[] SENT_AFTER_SIGNAL_MS = {300, 1_200, 2_300, 2_800, 4_000, 6_500};

    private Fleet fleet;
    private RunnerStandIn runner;

    /** A response and the id of its request. */
    private record Answer(String requestId, HttpResponse<String> response) {}

    @BeforeMethod
    public void startFleet() throws Exception {
        fleet = new Fleet();
        runner = new RunnerStandIn("runner-0", fleet.controlAddresses(), false);
        fleet.start(TrafficDocuments.create(3, TIME_LIMIT.toMillis(), Fleet.ACCOUNT_KEY));
        Waits.until(
                20_000,
                "a response through the gateway",
                () -> call("/again/x").get().response().statusCode() == 200);
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() throws Exception {
        runner.close();
        fleet.close();
    }

    /** The endpoint takes longer than the gateway has left, for each of these requests. */
    @Test
    public void answersEveryRequestThatCannotBeServedBeforeTheEnd() throws Exception {
        CompletableFuture<Answer> early = call("/once/slow");
        Waits.until(5_000, "the request at the endpoint", () -> runner.runs().size() > 1);
        long signalNanos = System.nanoTime();
        fleet.gateway(0).terminate();
        List<CompletableFuture<Answer>> late = new ArrayList<>();
        for (long sentMs : SENT_AFTER_SIGNAL_MS) {
            long elapsedMs = (System.nanoTime() - signalNanos) / 1_000_000;
            Thread.sleep(Math.max(0, sentMs - elapsedMs));
            late.add(call("/once/slow"));
        }
        for (CompletableFuture<Answer> call : late) {
            Answer answer = call.get();
            assertEquals(answer.response().statusCode(), 503, answer.response().body());
            assertTrue(answer.response().body().contains("not-run"), answer.response().body());
            assertFalse(runner.runs().containsKey(answer.requestId()), answer.requestId());
        }
        assertEquals(early.get().response().statusCode(), 502);
        assertTrue(early.get().response().body().contains("unknown"));
        fleet.gateway(0).awaitExit(10_000);
    }

    private CompletableFuture<Answer> call(String path) {
        String id = UUID.randomUUID().toString();
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return new Answer(id, fleet.callSlowly(0, path, id, TIME_LIMIT));
                    } catch (Exception e) {
                        throw new IllegalStateException("request " + id + " got no answer", e);
                    }
                });
    }
}
