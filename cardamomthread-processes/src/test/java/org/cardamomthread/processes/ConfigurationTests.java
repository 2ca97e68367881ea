package org.cardamomthread.processes;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.UUID;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that accepted configuration reaches all nodes and survives restarts. */
@Test(groups = "processes")
public class ConfigurationTests {

    private static final long STOP_TIMEOUT_MS = 20_000;

    private Cluster cluster;

    @BeforeMethod
    public void start() throws Exception {
        cluster = new Cluster("configuration");
        cluster.startNodes();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        cluster.close();
    }

    @Test
    public void reachesAllNodesAndSurvivesRestart() throws Exception {
        long accepted = 0;
        for (int i = 1; i <= 20; i++) {
            accepted = cluster.apply(Cluster.declarations(100 + i), Cluster.ACTIVATION_TIMEOUT_MS);
        }
        awaitActiveRevision(accepted, Cluster.ACTIVATION_TIMEOUT_MS);
        for (NodePorts node : cluster.nodes()) {
            cluster.process(node.id()).kill();
        }
        for (NodePorts node : cluster.nodes()) {
            cluster.startNode(node.id());
        }
        awaitActiveRevision(accepted, Cluster.READY_TIMEOUT_MS);
        for (NodePorts node : cluster.nodes()) {
            assertEquals(maxConcurrent(node), 120, node.id());
        }
    }

    @Test
    public void survivesLossOfLeader() throws Exception {
        long accepted = cluster.apply(Cluster.declarations(200), Cluster.ACTIVATION_TIMEOUT_MS);
        String leader = leader();
        cluster.process(leader).kill();
        NodePorts other =
                cluster.nodes().stream()
                        .filter(node -> !node.id().equals(leader))
                        .findFirst()
                        .orElseThrow();
        Waits.until(
                Cluster.READY_TIMEOUT_MS,
                "acceptance of a change after the loss of the leader",
                () -> change(other, cluster.revision(other.operators()), 201) == 200);
        assertTrue(cluster.revision(other.operators()) > accepted);
        cluster.startNode(leader);
        awaitActiveRevision(accepted + 1, Cluster.READY_TIMEOUT_MS);
    }

    @Test
    public void rejectsStaleRevision() throws Exception {
        NodePorts node = cluster.node("perth-b-1");
        long base = cluster.revision(node.operators());
        cluster.apply(Cluster.declarations(300), Cluster.ACTIVATION_TIMEOUT_MS);
        assertEquals(change(node, base, 301), 409);
    }

    @Test
    public void returnsOriginalResponseToRepeatedChange() throws Exception {
        String operation = UUID.randomUUID().toString();
        long base = cluster.revision(cluster.node("perth-a-1").operators());
        HttpResponse<String> first = change("perth-a-1", operation, base, 400);
        HttpResponse<String> second = change("perth-b-1", operation, base, 400);
        assertEquals(first.statusCode(), 200, first.body());
        assertEquals(second.statusCode(), 200, second.body());
        assertEquals(
                HttpCalls.json(second.body()).path("revision"),
                HttpCalls.json(first.body()).path("revision"));
    }

    @Test
    public void exitsWithCode0OnTermination() throws Exception {
        ManagedProcess process = cluster.process("perth-a-2");
        process.terminate();
        assertEquals(process.awaitExit(STOP_TIMEOUT_MS), 0, process.log());
    }

    private void awaitActiveRevision(long revision, long timeoutMs) throws Exception {
        for (NodePorts node : cluster.nodes()) {
            Waits.until(
                    timeoutMs,
                    "revision " + revision + " on " + node.id(),
                    () -> cluster.revision(node.operators()) >= revision);
        }
    }

    private int maxConcurrent(NodePorts node) throws Exception {
        return cluster.calls()
                .get(node.operators(), "/v1/configuration")
                .at("/declarations/clientAccounts/0/maxConcurrent")
                .asInt();
    }

    private String leader() throws Exception {
        JsonNode status = cluster.calls().get(cluster.node("perth-a-1").operators(), "/v1/status");
        for (JsonNode voter : status.path("voters")) {
            if (voter.path("role").asText().equals("leader")) {
                return voter.path("id").asText();
            }
        }
        throw new AssertionError("no leader in " + status);
    }

    private int change(NodePorts node, long base, int maxConcurrent) throws Exception {
        String operation = UUID.randomUUID().toString();
        return change(node.id(), operation, base, maxConcurrent).statusCode();
    }

    private HttpResponse<String> change(String node, String operation, long base, int maxConcurrent)
            throws Exception {
        String body =
                String.format(
                        "{\"operationId\":\"%s\",\"baseRevision\":%d,\"declarations\":%s}",
                        operation, base, Cluster.declarations(maxConcurrent));
        int port = cluster.node(node).operators();
        return cluster.calls().postAsOperator(port, "/v1/configuration/changes", body);
    }
}
