package org.cardamomthread.processes;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that accepted calls end whole when the platform reclaims hosts with notice. */
@Test(groups = "processes")
public class ReclaimTests {

    private static final long STARTED_MS = 30_000;
    private static final long LONGEST_NOTICE_MS = 10_000;
    private static final long AFTER_RECLAIM_MS = 10_000;
    private static final int TOKENS = 300;
    private static final int WHOLE_CALLS_AFTER = 2;

    private final HttpClient client = HttpClient.newHttpClient();
    private Cluster cluster;
    private int platform;

    @BeforeMethod
    public void create() throws Exception {
        cluster = new Cluster("reclaim");
        platform = cluster.startPlatform();
        cluster.startNodes();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        cluster.close();
    }

    @DataProvider
    public Object[][] reclaims() {
        return new Object[][] {
            {"one host", List.of("runner-a1"), 1, 4_000},
            {"a data centre, each notice twice", List.of("runner-a1", "runner-a2"), 2, 4_000},
            {"a notice shorter than a stream", List.of("runner-a1", "runner-a2"), 1, 500},
        };
    }

    @Test(dataProvider = "reclaims")
    public void finishesEveryAcceptedCall(
            String what, List<String> reclaimed, int notices, long noticeMs) throws Exception {
        cluster.startEngine("runner-a1", "perth-a");
        cluster.startEngine("runner-a2", "perth-a");
        cluster.startEngine("runner-b1", "perth-b");
        try (ChatLoad load = new ChatLoad(cluster, 2, TOKENS)) {
            for (NodeAddresses node : cluster.nodes()) {
                Waits.until(
                        STARTED_MS,
                        "answers through " + node.id(),
                        () -> load.wholeSince(node.id(), Long.MIN_VALUE) > 2);
            }
            long reclaimAtMs = System.currentTimeMillis() + noticeMs;
            for (int i = 0; i < notices; i++) {
                for (String endpoint : reclaimed) {
                    give(endpoint, reclaimAtMs);
                }
            }
            Waits.until(
                    LONGEST_NOTICE_MS,
                    "the reclaim",
                    () -> System.currentTimeMillis() >= reclaimAtMs);
            for (String endpoint : reclaimed) {
                cluster.process(endpoint).kill();
            }
            long reclaimedNs = System.nanoTime();
            for (NodeAddresses node : cluster.nodes()) {
                Waits.until(
                        AFTER_RECLAIM_MS,
                        "answers through " + node.id() + " after the reclaim",
                        () -> load.wholeSince(node.id(), reclaimedNs) > WHOLE_CALLS_AFTER);
            }
            List<ChatLoad.Ended> failures = new ArrayList<>(load.failures());
            assertEquals(failures, List.of(), what);
            assertEquals(load.wrong(), List.of(), what);
            assertTrue(load.ended().size() > WHOLE_CALLS_AFTER, what);
        }
    }

    private void give(String endpoint, long reclaimAtMs) throws Exception {
        String notice =
                String.format(
                        "{\"hostId\":\"host-%s\",\"endpointId\":\"%s\",\"dataCentre\":\"perth-a\","
                                + "\"reclaimAtMs\":%d}",
                        endpoint, endpoint, reclaimAtMs);
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + platform + "/v1/notices"))
                        .POST(HttpRequest.BodyPublishers.ofString(notice))
                        .build();
        HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(answer.statusCode(), 200, answer.body());
    }
}
