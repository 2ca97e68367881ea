package org.cardamomthread.processes;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.time.Instant;
import java.util.List;
import java.util.UUID;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that version moves are done in time or taken back. */
@Test(groups = "processes")
public class RolloutTests {

    private static final long STARTED_MS = 30_000;
    private static final long BAD_DEADLINE_MS = 600_000;
    private static final long GOOD_DEADLINE_MS = 60_000;
    private static final long NO_NEW_WORK_MS = 5_000;
    private static final long OBSERVED_MS = 10_000;
    private static final double MAX_BAD_SHARE = 0.01;
    private static final int TOKENS = 4;

    private Cluster cluster;
    private int newEngine;

    @BeforeMethod
    public void create() throws Exception {
        cluster = new Cluster("rollout");
        cluster.startNodes();
        cluster.startEngine("runner-1", "perth-a");
        cluster.startEngine("runner-2", "perth-b");
        newEngine = cluster.startEngine("runner-3", "perth-b", "--services", "chat=v2");
        cluster.awaitServed(Answers.CHAT, Answers.chat("warm", 1, false));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        cluster.close();
    }

    @DataProvider
    public Object[][] badVersions() {
        return new Object[][] {
            {"fails at once", "{\"kind\":\"fail\"}"},
            {"is slow", "{\"kind\":\"late\",\"delayMs\":2500}"},
        };
    }

    @Test(dataProvider = "badVersions")
    public void takesABadVersionBackAfterASmallShare(String what, String fault) throws Exception {
        cluster.calls().fault(newEngine, fault);
        try (ChatLoad load = new ChatLoad(cluster, 4, TOKENS)) {
            awaitLoad(load);
            String move = startMove(BAD_DEADLINE_MS);
            Waits.until(BAD_DEADLINE_MS / 2, what + " is taken back", () -> !isRunning(move));
            long endedAtMs = System.currentTimeMillis();
            JsonNode ended = read(move);
            assertEquals(ended.path("state").asText(), "taken-back", ended.toString());
            assertTrue(!ended.path("reason").asText().isEmpty(), ended.toString());
            Waits.until(
                    2 * OBSERVED_MS,
                    "the time of observation",
                    () -> System.currentTimeMillis() > endedAtMs + OBSERVED_MS);
            assertEquals(countRunsAfter(endedAtMs + NO_NEW_WORK_MS), 0, what);
            double share = (double) countRunsAfter(0) / load.ended().size();
            assertTrue(share <= MAX_BAD_SHARE, what + " got a share of " + share);
            assertEquals(load.failures(), List.of(), what);
        }
    }

    @Test
    public void finishesAGoodVersionByItsDeadline() throws Exception {
        try (ChatLoad load = new ChatLoad(cluster, 4, TOKENS)) {
            awaitLoad(load);
            String move = startMove(GOOD_DEADLINE_MS);
            Waits.until(GOOD_DEADLINE_MS, "the end of the move", () -> !isRunning(move));
            assertEquals(read(move).path("state").asText(), "done", read(move).toString());
            assertEquals(load.failures(), List.of());
        }
    }

    private void awaitLoad(ChatLoad load) throws Exception {
        for (NodeAddresses node : cluster.nodes()) {
            Waits.until(
                    STARTED_MS,
                    "answers through " + node.id(),
                    () -> load.wholeSince(node.id(), Long.MIN_VALUE) > 10);
        }
    }

    private String startMove(long deadlineMs) throws Exception {
        String operation = UUID.randomUUID().toString();
        String change =
                String.format(
                        "{\"operationId\":\"%s\",\"service\":\"chat\",\"to\":\"v2\",\"by\":\"%s\"}",
                        operation, Instant.now().plusMillis(deadlineMs));
        HttpResponse<String> answer =
                cluster.calls().operate(operatorPort(), "/v1/version-moves", change);
        assertEquals(answer.statusCode(), 200, answer.body());
        return operation;
    }

    private JsonNode read(String move) throws Exception {
        return cluster.calls().get(operatorPort(), "/v1/version-moves/" + move);
    }

    private boolean isRunning(String move) throws Exception {
        return read(move).path("state").asText().equals("running");
    }

    private int operatorPort() {
        return cluster.node("perth-a-1").operators();
    }

    private long countRunsAfter(long atMs) throws Exception {
        long count = 0;
        for (JsonNode run : cluster.calls().get(newEngine, "/v1/record").path("runs")) {
            if (run.path("atMs").asLong() > atMs) {
                count++;
            }
        }
        return count;
    }
}
