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
import java.util.concurrent.TimeUnit;
import org.cardamomthread.transport.FaultInjectingProxy;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that calls keep succeeding while nodes, connections and endpoints fail or leave. */
@Test(groups = "processes")
public class FailureTests {

    private static final long RECOVERY_TIMEOUT_MS = 10_000;
    private static final long SHUTDOWN_TIMEOUT_MS = 17_000;
    private static final long NEW_WORK_CUTOFF_MS = 5_000;
    private static final long OBSERVATION_MS = 8_000;
    private static final int TOKENS = 40;

    private Cluster cluster;
    private FaultInjectingProxy proxy;

    @BeforeMethod
    public void create() throws Exception {
        cluster = new Cluster("failure");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        cluster.close();
        if (proxy != null) {
            proxy.close();
            proxy = null;
        }
    }

    @Test
    public void keepsServingAfterHomeNodeIsKilled() throws Exception {
        startWithTwoEngines();
        String home = homeOf("runner-1");
        try (ChatLoad load = new ChatLoad(cluster, 2, TOKENS)) {
            awaitCorrectResponses(load, System.nanoTime());
            long killedNs = System.nanoTime();
            cluster.process(home).kill();
            for (NodePorts node : cluster.nodes()) {
                if (!node.id().equals(home)) {
                    Waits.until(
                            RECOVERY_TIMEOUT_MS,
                            "responses through " + node.id(),
                            () -> load.countCorrectSince(node.id(), killedNs) > 5);
                }
            }
            assertEquals(load.corruptResponses(), List.of());
            for (ChatLoad.CompletedCall failed : load.failures()) {
                assertEquals(failed.node(), home, failed.detail());
            }
        }
    }

    @Test
    public void completesRequestsDuringGracefulShutdown() throws Exception {
        startWithTwoEngines();
        ManagedProcess leaving = cluster.process("perth-a-2");
        try (ChatLoad load = new ChatLoad(cluster, 4, 100)) {
            awaitCorrectResponses(load, System.nanoTime());
            leaving.terminate();
            assertEquals(leaving.awaitExit(SHUTDOWN_TIMEOUT_MS), 0, leaving.log());
            load.close();
            assertEquals(load.failures(), List.of());
        }
    }

    @Test
    public void sendsNoNewWorkToDrainedDataCentre() throws Exception {
        int engine = startWithTwoEngines();
        try (ChatLoad load = new ChatLoad(cluster, 2, 10)) {
            awaitCorrectResponses(load, System.nanoTime());
            operate("perth-b-1", "/v1/data-centres/perth-a/drain");
            long acceptedMs = System.currentTimeMillis();
            awaitNoNewWork(engine, acceptedMs);
            assertEquals(load.corruptResponses(), List.of());
            assertEquals(load.failures(), List.of());
            int before = runs(engine).size();
            operate("perth-a-1", "/v1/data-centres/perth-a/return");
            operate("perth-a-1", "/v1/data-centres/perth-b/drain");
            Waits.until(
                    RECOVERY_TIMEOUT_MS,
                    "new work after the return",
                    () -> runs(engine).size() > before);
            awaitCorrectResponses(load, System.nanoTime());
            assertEquals(load.corruptResponses(), List.of());
            assertEquals(load.failures(), List.of());
        }
    }

    @Test
    public void sendsNoNewWorkToLeavingEndpoint() throws Exception {
        int engine = startWithTwoEngines();
        try (ChatLoad load = new ChatLoad(cluster, 2, 10)) {
            awaitCorrectResponses(load, System.nanoTime());
            cluster.calls().injectFault(engine, "{\"kind\":\"leaving\"}");
            awaitNoNewWork(engine, System.currentTimeMillis());
            assertEquals(load.failures(), List.of());
        }
    }

    @Test
    public void reconnectsWhenExistingConnectionsAreSilent() throws Exception {
        int port = NodePorts.reservePorts(1).get(0);
        proxy = new FaultInjectingProxy(port);
        cluster.startEngine(
                "runner-1",
                "perth-a",
                "--listen",
                "127.0.0.1:" + port,
                "--advertise",
                "127.0.0.1:" + proxy.address().getPort());
        startNodes();
        proxy.dropTraffic();
        for (NodePorts node : cluster.nodes()) {
            String question = "silence before " + node.id();
            HttpResponse<String> response =
                    cluster.call(node.id(), ChatCalls.CHAT_PATH, chat(question), UUID.randomUUID());
            assertEquals(response.statusCode(), 200, response.body());
            assertEquals(
                    ChatCalls.messageText(response.body()),
                    ChatCalls.expectedText(question, TOKENS));
        }
    }

    @DataProvider
    public Object[][] nodes() {
        return new Object[][] {{"perth-a-1"}, {"perth-b-1"}};
    }

    @Test(dataProvider = "nodes")
    public void keepsServingWhileNodeIsSuspendedAndAfterResume(String suspendedNode)
            throws Exception {
        startWithTwoEngines();
        cluster.process(suspendedNode).suspend();
        for (NodePorts node : cluster.nodes()) {
            if (!node.id().equals(suspendedNode)) {
                Waits.until(
                        RECOVERY_TIMEOUT_MS,
                        "responses through " + node.id(),
                        () -> isAnswered(node));
            }
        }
        cluster.process(suspendedNode).resume();
        Waits.until(
                RECOVERY_TIMEOUT_MS,
                "responses through " + suspendedNode,
                () -> isAnswered(cluster.node(suspendedNode)));
    }

    @Test
    public void respectsConcurrencyLimitOfColdEndpoint() throws Exception {
        int engine =
                cluster.startEngine(
                        "runner-1",
                        "perth-a",
                        "--cold-ms",
                        "120000",
                        "--cold-bearable",
                        "4",
                        "--decode",
                        "100");
        cluster.startNodes();
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            for (NodePorts node : cluster.nodes()) {
                String body = ChatCalls.chat("cold " + i, 10, false);
                responses.add(
                        cluster.calls()
                                .callAsync(node.callers(), ChatCalls.CHAT_PATH, body, Map.of()));
            }
        }
        int succeeded = 0;
        for (CompletableFuture<HttpResponse<String>> response : responses) {
            succeeded += response.get(60, TimeUnit.SECONDS).statusCode() == 200 ? 1 : 0;
        }
        JsonNode record = cluster.calls().get(engine, "/v1/record");
        assertEquals(record.path("coldOverloads").asInt(), 0, record.toString());
        assertTrue(record.path("peakRunning").asInt() <= 4, record.toString());
        assertTrue(succeeded > 0, "at least one call must succeed");
    }

    private int startWithTwoEngines() throws Exception {
        int first = cluster.startEngine("runner-1", "perth-a");
        cluster.startEngine("runner-2", "perth-b");
        startNodes();
        for (String endpoint : List.of("runner-1", "runner-2")) {
            Waits.until(Cluster.READY_TIMEOUT_MS, endpoint, () -> !homeOf(endpoint).isEmpty());
        }
        return first;
    }

    private void startNodes() throws Exception {
        cluster.startNodes();
        cluster.awaitServed(ChatCalls.CHAT_PATH, ChatCalls.chat("warm", 1, false));
    }

    private String homeOf(String endpoint) throws Exception {
        int port = cluster.node("perth-a-1").operators();
        for (JsonNode known : cluster.calls().get(port, "/v1/status").path("endpoints")) {
            if (known.path("id").asText().equals(endpoint)) {
                return known.path("home").asText();
            }
        }
        return "";
    }

    private void awaitCorrectResponses(ChatLoad load, long sinceNs) throws Exception {
        for (NodePorts node : cluster.nodes()) {
            Waits.until(
                    RECOVERY_TIMEOUT_MS,
                    "responses through " + node.id(),
                    () -> load.countCorrectSince(node.id(), sinceNs) > 3);
        }
    }

    /**
     * Observes an engine beyond the cutoff for new work and checks the time of its last new
     * request.
     */
    private void awaitNoNewWork(int engine, long sinceMs) throws Exception {
        Waits.until(
                OBSERVATION_MS + 1_000,
                "the end of the observation",
                () -> System.currentTimeMillis() >= sinceMs + OBSERVATION_MS);
        long lastMs = 0;
        for (JsonNode run : runs(engine)) {
            lastMs = Math.max(lastMs, run.path("atMs").asLong());
        }
        assertTrue(lastMs > 0, "the endpoint must have received requests before");
        assertTrue(
                lastMs <= sinceMs + NEW_WORK_CUTOFF_MS,
                "new work " + (lastMs - sinceMs) + " ms after the drain or departure began");
    }

    private JsonNode runs(int engine) throws Exception {
        return cluster.calls().get(engine, "/v1/record").path("runs");
    }

    private void operate(String node, String path) throws Exception {
        String body = "{\"operationId\":\"" + UUID.randomUUID() + "\"}";
        HttpResponse<String> response =
                cluster.calls().postAsOperator(cluster.node(node).operators(), path, body);
        assertEquals(response.statusCode(), 200, response.body());
    }

    private boolean isAnswered(NodePorts node) throws Exception {
        HttpResponse<String> response =
                cluster.calls().call(node.callers(), ChatCalls.CHAT_PATH, chat("frozen"), Map.of());
        return response.statusCode() == 200
                && ChatCalls.messageText(response.body())
                        .equals(ChatCalls.expectedText("frozen", TOKENS));
    }

    private static String chat(String question) {
        return ChatCalls.chat(question, TOKENS, false);
    }
}
