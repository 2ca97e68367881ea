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

/** Tests that version moves complete by their deadline or are rolled back. */
@Test(groups = "processes")
public class RolloutTests {

    private static final long START_TIMEOUT_MS = 30_000;
    private static final long FAULTY_VERSION_DEADLINE_MS = 600_000;
    private static final long HEALTHY_VERSION_DEADLINE_MS = 60_000;
    private static final long NEW_WORK_CUTOFF_MS = 5_000;
    private static final long OBSERVATION_MS = 10_000;
    private static final double MAX_FAULTY_SHARE = 0.01;
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
        cluster.awaitServed(ChatCalls.CHAT_PATH, ChatCalls.chat("warm", 1, false));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        cluster.close();
    }

    @DataProvider
    public Object[][] faultyVersions() {
        return new Object[][] {
            {"fails at once", "{\"kind\":\"fail\"}"},
            {"is slow", "{\"kind\":\"late\",\"delayMs\":2500}"},
        };
    }

    @Test(dataProvider = "faultyVersions")
    public void rollsBackFaultyVersionAfterSmallShare(String description, String fault)
            throws Exception {
        cluster.calls().injectFault(newEngine, fault);
        try (ChatLoad load = new ChatLoad(cluster, 4, TOKENS)) {
            awaitLoad(load);
            String move = startMove(FAULTY_VERSION_DEADLINE_MS);
            Waits.until(
                    FAULTY_VERSION_DEADLINE_MS / 2,
                    description + ": rollback of the move",
                    () -> !isRunning(move));
            long endedAtMs = System.currentTimeMillis();
            JsonNode ended = read(move);
            assertEquals(ended.path("state").asText(), "taken-back", ended.toString());
            assertTrue(!ended.path("reason").asText().isEmpty(), ended.toString());
            Waits.until(
                    2 * OBSERVATION_MS,
                    "the end of the observation",
                    () -> System.currentTimeMillis() > endedAtMs + OBSERVATION_MS);
            assertEquals(countRunsAfter(endedAtMs + NEW_WORK_CUTOFF_MS), 0, description);
            double share = (double) countRunsAfter(0) / load.completedCalls().size();
            assertTrue(share <= MAX_FAULTY_SHARE, description + " got a share of " + share);
            assertEquals(load.failures(), List.of(), description);
        }
    }

    @Test
    public void completesHealthyVersionByDeadline() throws Exception {
        try (ChatLoad load = new ChatLoad(cluster, 4, TOKENS)) {
            awaitLoad(load);
            String move = startMove(HEALTHY_VERSION_DEADLINE_MS);
            Waits.until(
                    HEALTHY_VERSION_DEADLINE_MS, "completion of the move", () -> !isRunning(move));
            assertEquals(read(move).path("state").asText(), "done", read(move).toString());
            assertEquals(load.failures(), List.of());
        }
    }

    private void awaitLoad(ChatLoad load) throws Exception {
        for (NodePorts node : cluster.nodes()) {
            Waits.until(
                    START_TIMEOUT_MS,
                    "responses through " + node.id(),
                    () -> load.countCorrectSince(node.id(), Long.MIN_VALUE) > 10);
        }
    }

    private String startMove(long deadlineMs) throws Exception {
        String operation = UUID.randomUUID().toString();
        String change =
                String.format(
                        "{\"operationId\":\"%s\",\"service\":\"chat\",\"to\":\"v2\",\"by\":\"%s\"}",
                        operation, Instant.now().plusMillis(deadlineMs));
        HttpResponse<String> response =
                cluster.calls().postAsOperator(operatorPort(), "/v1/version-moves", change);
        assertEquals(response.statusCode(), 200, response.body());
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
