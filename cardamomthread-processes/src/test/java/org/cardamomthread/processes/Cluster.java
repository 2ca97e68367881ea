package org.cardamomthread.processes;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;

/**
 * Runs three nodes in two data centres, all with persistent storage, and stand-ins for endpoints.
 *
 * <p>Used by one thread. {@link #close()} stops every process; the logs remain in the cluster
 * folder below target.
 */
final class Cluster implements AutoCloseable {

    static final long READY_TIMEOUT_MS = 30_000;
    static final long ACTIVATION_TIMEOUT_MS = 5_000;

    private static final String START_TIMEOUT_MS = "10000";
    private static final int STATUS_CONFLICT = 409;
    private static final String DAEMON = "cardamomthread-daemon";
    private static final String STAND_IN = "cardamomthread-standin";

    private final Path folder;
    private final HttpCalls calls = new HttpCalls();
    private final Map<String, NodePorts> nodes = new LinkedHashMap<>();
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();

    private Optional<String> platform = Optional.empty();

    Cluster(String name) throws IOException {
        folder = Path.of("target", "clusters", name + "-" + UUID.randomUUID());
        Files.createDirectories(folder);
        addNode("perth-a-1", "perth-a");
        addNode("perth-a-2", "perth-a");
        addNode("perth-b-1", "perth-b");
    }

    HttpCalls calls() {
        return calls;
    }

    Path folder() {
        return folder;
    }

    NodePorts node(String id) {
        return nodes.get(id);
    }

    List<NodePorts> nodes() {
        return List.copyOf(nodes.values());
    }

    ManagedProcess process(String name) {
        return processes.get(name);
    }

    /** Starts all nodes, applies the declarations and waits until the nodes are ready. */
    void startNodes() throws Exception {
        for (String id : nodes.keySet()) {
            startNode(id);
        }
        for (NodePorts node : nodes.values()) {
            awaitLiveness(node);
        }
        apply(declarations(100), READY_TIMEOUT_MS);
        for (NodePorts node : nodes.values()) {
            awaitReadiness(node);
        }
    }

    /** Starts a platform stand-in that nodes started later poll; returns its port. */
    int startPlatform() throws Exception {
        int port = NodePorts.reservePorts(1).get(0);
        List<String> arguments = List.of("platform", "--listen", "127.0.0.1:" + port);
        processes.put("platform", ManagedProcess.start("platform", folder, STAND_IN, arguments));
        platform = Optional.of("127.0.0.1:" + port);
        Waits.until(
                READY_TIMEOUT_MS,
                "startup of the platform",
                () -> calls.status(port, "/v1/prices") == 200);
        return port;
    }

    /** Starts a node that gives up on an address in use before a test does. */
    ManagedProcess startNode(String id) throws IOException {
        Path settings = folder.resolve(id + ".yaml");
        Files.writeString(settings, settings(nodes.get(id)));
        ManagedProcess process =
                ManagedProcess.start(
                        id,
                        folder,
                        DAEMON,
                        List.of(
                                "--settings",
                                settings.toString(),
                                "--start-timeout-ms",
                                START_TIMEOUT_MS));
        processes.put(id, process);
        return process;
    }

    void awaitLiveness(NodePorts node) throws Exception {
        Waits.until(
                READY_TIMEOUT_MS,
                node.id() + " liveness",
                () -> {
                    process(node.id()).requireRunning();
                    return calls.status(node.operators(), "/healthz") == 200;
                });
    }

    void awaitReadiness(NodePorts node) throws Exception {
        Waits.until(
                READY_TIMEOUT_MS,
                node.id() + " readiness",
                () -> {
                    process(node.id()).requireRunning();
                    return calls.status(node.operators(), "/readyz") == 200;
                });
    }

    /**
     * Starts a stand-in and returns its port; the given options take precedence over the defaults.
     */
    int startStandIn(String kind, String id, String dataCentre, String... options)
            throws IOException {
        int port = NodePorts.reservePorts(1).get(0);
        List<String> arguments = new ArrayList<>(List.of(kind));
        arguments.addAll(List.of(options));
        arguments.addAll(List.of("--listen", "127.0.0.1:" + port, "--id", id));
        arguments.addAll(List.of("--data-centre", dataCentre));
        arguments.addAll(
                List.of("--token", HttpCalls.ENDPOINT_TOKEN, "--nodes", endpointListeners()));
        processes.put(id, ManagedProcess.start(id, folder, STAND_IN, arguments));
        return port;
    }

    int startEngine(String id, String dataCentre, String... options) throws IOException {
        List<String> arguments = new ArrayList<>(List.of(options));
        arguments.addAll(List.of("--class", "gpu-small", "--services", "chat=v1"));
        arguments.addAll(List.of("--capabilities", "fencing,resume"));
        return startStandIn("engine", id, dataCentre, arguments.toArray(new String[0]));
    }

    int startBookings(String id, String dataCentre, String... options) throws IOException {
        List<String> arguments =
                new ArrayList<>(List.of("--class", "app-small", "--services", "bookings=v1"));
        arguments.addAll(List.of(options));
        return startStandIn("service", id, dataCentre, arguments.toArray(new String[0]));
    }

    /** Waits until a call through each node succeeds. */
    void awaitServed(String path, String body) throws Exception {
        for (NodePorts node : nodes.values()) {
            Waits.until(
                    READY_TIMEOUT_MS,
                    path + " served through " + node.id(),
                    () -> call(node.id(), path, body, UUID.randomUUID()).statusCode() == 200);
        }
    }

    HttpResponse<String> call(String node, String path, String body, Object key)
            throws IOException, InterruptedException {
        return calls.call(
                node(node).callers(), path, body, Map.of("Idempotency-Key", key.toString()));
    }

    /**
     * Applies declarations to the current revision and returns the accepted revision. A change
     * without a response is sent again as it is, since it may have been committed; a new one is
     * created only if the revision on which it is based is outdated.
     */
    long apply(String declarations, long timeoutMs) throws Exception {
        int port = nodes.values().iterator().next().operators();
        AtomicReference<String> change = new AtomicReference<>();
        long[] accepted = new long[1];
        Waits.until(
                timeoutMs,
                "acceptance of declarations",
                () -> {
                    if (change.get() == null) {
                        change.set(createChange(revision(port), declarations));
                    }
                    HttpResponse<String> response =
                            calls.postAsOperator(port, "/v1/configuration/changes", change.get());
                    if (response.statusCode() == STATUS_CONFLICT) {
                        change.set(null);
                    }
                    if (response.statusCode() != 200) {
                        throw new IOException(response.statusCode() + ": " + response.body());
                    }
                    accepted[0] = HttpCalls.json(response.body()).path("revision").asLong();
                    return true;
                });
        return accepted[0];
    }

    private static String createChange(long baseRevision, String declarations) {
        return String.format(
                "{\"operationId\":\"%s\",\"baseRevision\":%d,\"declarations\":%s}",
                UUID.randomUUID(), baseRevision, declarations);
    }

    long revision(int operatorPort) throws IOException, InterruptedException {
        JsonNode configuration = calls.get(operatorPort, "/v1/configuration");
        return configuration.path("revision").asLong();
    }

    /** Returns declarations with the given limit of concurrent calls of the client account. */
    static String declarations(int maxConcurrent) throws IOException {
        try (var resource = Cluster.class.getResourceAsStream("declarations.json")) {
            String template = new String(resource.readAllBytes());
            return template.replace("\"MAX_CONCURRENT\"", Integer.toString(maxConcurrent));
        }
    }

    String endpointListeners() {
        return nodes.values().stream()
                .map(node -> "127.0.0.1:" + node.endpoints())
                .collect(Collectors.joining(","));
    }

    @Override
    public void close() throws InterruptedException {
        for (ManagedProcess process : processes.values()) {
            process.close();
        }
    }

    private void addNode(String id, String dataCentre) throws IOException {
        nodes.put(id, NodePorts.allocate(id, dataCentre));
    }

    String settings(NodePorts node) {
        StringBuilder yaml = new StringBuilder();
        yaml.append("nodeId: ").append(node.id()).append('\n');
        yaml.append("dataCentre: ").append(node.dataCentre()).append('\n');
        yaml.append("listeners:\n");
        yaml.append("  callers: 127.0.0.1:").append(node.callers()).append('\n');
        yaml.append("  endpoints: 127.0.0.1:").append(node.endpoints()).append('\n');
        yaml.append("  operators: 127.0.0.1:").append(node.operators()).append('\n');
        yaml.append("  peers: 127.0.0.1:").append(node.peers()).append('\n');
        yaml.append("dataFolder: data-").append(node.id()).append('\n');
        yaml.append("peers:\n");
        for (NodePorts peer : nodes.values()) {
            yaml.append("  - {id: ").append(peer.id());
            yaml.append(", dataCentre: ").append(peer.dataCentre());
            yaml.append(", address: \"127.0.0.1:").append(peer.peers());
            yaml.append("\", voter: true}\n");
        }
        String voters = String.join(", ", nodes.keySet());
        yaml.append("bootstrapVoters:\n");
        yaml.append("  configuration: [").append(voters).append("]\n");
        yaml.append("  work: [").append(voters).append("]\n");
        yaml.append("secrets:\n");
        yaml.append("  peerKey: {value: peer-key-of-the-test-deployment}\n");
        yaml.append("  endpointToken: {value: ").append(HttpCalls.ENDPOINT_TOKEN).append("}\n");
        yaml.append("  operatorTokens: [{value: ").append(HttpCalls.OPERATOR_TOKEN).append("}]\n");
        platform.ifPresent(
                address ->
                        yaml.append("platform: {address: \"")
                                .append(address)
                                .append("\", pollMs: 200}\n"));
        yaml.append("drainDelayMs: 300\n");
        yaml.append("shutdownTimeoutMs: 15000\n");
        return yaml.toString();
    }
}
