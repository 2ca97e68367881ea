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

/** Tests that accepted calls complete when the platform reclaims hosts with notice. */
@Test(groups = "processes")
public class ReclaimTests {

    private static final long START_TIMEOUT_MS = 30_000;
    private static final long MAX_NOTICE_MS = 10_000;
    private static final long RECOVERY_TIMEOUT_MS = 10_000;
    private static final int TOKENS = 300;
    private static final int CORRECT_CALLS_AFTER_RECLAIM = 2;

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
            {"notice shorter than a stream", List.of("runner-a1", "runner-a2"), 1, 500},
        };
    }

    @Test(dataProvider = "reclaims")
    public void completesEveryAcceptedCall(
            String description, List<String> reclaimed, int notices, long noticeMs)
            throws Exception {
        cluster.startEngine("runner-a1", "perth-a");
        cluster.startEngine("runner-a2", "perth-a");
        cluster.startEngine("runner-b1", "perth-b");
        try (ChatLoad load = new ChatLoad(cluster, 2, TOKENS)) {
            for (NodePorts node : cluster.nodes()) {
                Waits.until(
                        START_TIMEOUT_MS,
                        "responses through " + node.id(),
                        () -> load.countCorrectSince(node.id(), Long.MIN_VALUE) > 2);
            }
            long reclaimAtMs = System.currentTimeMillis() + noticeMs;
            for (int i = 0; i < notices; i++) {
                for (String endpoint : reclaimed) {
                    sendNotice(endpoint, reclaimAtMs);
                }
            }
            Waits.until(
                    MAX_NOTICE_MS, "the reclaim", () -> System.currentTimeMillis() >= reclaimAtMs);
            for (String endpoint : reclaimed) {
                cluster.process(endpoint).kill();
            }
            long reclaimedNs = System.nanoTime();
            for (NodePorts node : cluster.nodes()) {
                Waits.until(
                        RECOVERY_TIMEOUT_MS,
                        "responses through " + node.id() + " after the reclaim",
                        () ->
                                load.countCorrectSince(node.id(), reclaimedNs)
                                        > CORRECT_CALLS_AFTER_RECLAIM);
            }
            List<ChatLoad.CompletedCall> failures = new ArrayList<>(load.failures());
            assertEquals(failures, List.of(), description);
            assertEquals(load.corruptResponses(), List.of(), description);
            assertTrue(load.completedCalls().size() > CORRECT_CALLS_AFTER_RECLAIM, description);
        }
    }

    private void sendNotice(String endpoint, long reclaimAtMs) throws Exception {
        String notice =
                String.format(
                        "{\"hostId\":\"host-%s\",\"endpointId\":\"%s\",\"dataCentre\":\"perth-a\","
                                + "\"reclaimAtMs\":%d}",
                        endpoint, endpoint, reclaimAtMs);
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + platform + "/v1/notices"))
                        .POST(HttpRequest.BodyPublishers.ofString(notice))
                        .build();
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(response.statusCode(), 200, response.body());
    }
}
