package org.cardamomthread.processes.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.cardamomthread.processes.ManagedProcess;
import org.cardamomthread.processes.Ports;
import org.cardamomthread.processes.Waits;

/**
 * Runs control nodes and gateways as processes, each on its own loopback address.
 *
 * <p>Safe for use by several threads, except for concurrent starts and stops of the same node.
 */
final class Fleet implements AutoCloseable {

    static final int CONTROL_NODES = 3;
    static final int GATEWAYS = 2;
    static final String ACCOUNT_KEY = "key-of-bars";

    private static final long START_TIMEOUT_MS = 30_000;
    private static final Path JAR = Path.of("..", "target", "cardamomthread.jar");
    private static final String TIME_LIMIT_HEADER = "X-Cardamomthread-Deadline-Ms";
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

    private final Path folder;
    private final int peerPort = Ports.reserve();
    private final int controlPort = Ports.reserve();
    private final int callersPort = Ports.reserve();
    private final int readinessPort = Ports.reserve();
    private final int metricsPort = Ports.reserve();
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CALL_TIMEOUT)
                    .build();

    Fleet() throws IOException {
        folder = Files.createTempDirectory("fleet");
    }

    /** Starts all nodes, applies a traffic document and waits until the gateways are ready. */
    void start(String document) throws Exception {
        for (int i = 0; i < CONTROL_NODES; i++) {
            startControl(i, true);
        }
        for (int i = 0; i < GATEWAYS; i++) {
            startGateway(i);
        }
        replaceDocument(document);
        for (int i = 0; i < GATEWAYS; i++) {
            awaitReadiness(i);
        }
    }

    static String controlIp(int index) {
        return "127.0.0." + (11 + index);
    }

    static String gatewayIp(int index) {
        return "127.0.0." + (21 + index);
    }

    ManagedProcess control(int index) {
        return processes.get("control-" + index);
    }

    ManagedProcess gateway(int index) {
        return processes.get("gateway-" + index);
    }

    void startControl(int index, boolean isFirstStart) throws IOException {
        String name = "control-" + index;
        String listeners = "  control: \"" + controlIp(index) + ":" + controlPort + "\"\n";
        start(name, settings("control", name, controlIp(index), isFirstStart, listeners));
    }

    void startGateway(int index) throws IOException {
        String name = "gateway-" + index;
        String ip = gatewayIp(index);
        String listeners =
                "  callers: \"%s:%d\"\n  readiness: \"%s:%d\"\n"
                        .formatted(ip, callersPort, ip, readinessPort);
        start(name, settings("gateway", name, ip, false, listeners));
    }

    /** Deletes the data folder of a stopped control node. */
    void wipe(int index) throws IOException {
        Path data = folder.resolve("control-" + index + "-data");
        try (Stream<Path> files = Files.walk(data)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    void awaitReadiness(int index) throws Exception {
        ManagedProcess process = gateway(index);
        URI target = URI.create("http://" + gatewayIp(index) + ":" + readinessPort + "/readyz");
        Waits.until(
                START_TIMEOUT_MS,
                "gateway " + index + " readiness",
                () -> {
                    process.requireRunning();
                    return get(target).statusCode() == 200;
                });
    }

    /** Sends a document to the control nodes in turn until one acknowledges it. */
    void replaceDocument(String document) throws Exception {
        int[] attempt = {0};
        Waits.until(
                START_TIMEOUT_MS,
                "acknowledgement of a document",
                () ->
                        control(attempt[0]++ % CONTROL_NODES, "POST", "/Config.Replace", document)
                                        .statusCode()
                                == 200);
    }

    HttpResponse<String> control(int index, String method, String path, String body)
            throws IOException, InterruptedException {
        return send(
                HttpRequest.newBuilder(
                                URI.create("http://" + controlIp(index) + ":" + controlPort + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body)));
    }

    /** Sends a request with the given API key through a gateway. */
    HttpResponse<String> call(int index, String path, String requestId, String key)
            throws IOException, InterruptedException {
        return send(createCall(index, path, requestId, key));
    }

    /** Sends a request through a gateway, without keeping the body of the response. */
    HttpResponse<Void> callWithoutBody(int index, String path, String requestId, String key)
            throws IOException, InterruptedException {
        return http.send(
                createCall(index, path, requestId, key).timeout(CALL_TIMEOUT).build(),
                HttpResponse.BodyHandlers.discarding());
    }

    /** Sends a request with a long time limit through a gateway. */
    HttpResponse<String> callSlowly(int index, String path, String requestId, Duration timeLimit)
            throws IOException, InterruptedException {
        return http.send(
                createCall(index, path, requestId, ACCOUNT_KEY)
                        .setHeader(TIME_LIMIT_HEADER, Long.toString(timeLimit.toMillis()))
                        .timeout(timeLimit)
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder createCall(int index, String path, String requestId, String key) {
        return HttpRequest.newBuilder(
                        URI.create("http://" + gatewayIp(index) + ":" + callersPort + path))
                .header("X-Cardamomthread-Attempt-Id", requestId)
                .header(TIME_LIMIT_HEADER, "2500")
                .header("Authorization", "Bearer " + key)
                .POST(HttpRequest.BodyPublishers.ofString("body of " + requestId));
    }

    HttpResponse<String> metrics(String ip) throws IOException, InterruptedException {
        return get(URI.create("http://" + ip + ":" + metricsPort + "/metrics"));
    }

    List<String> controlAddresses() {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < CONTROL_NODES; i++) {
            addresses.add(controlIp(i) + ":" + controlPort);
        }
        return addresses;
    }

    /** Waits for a leader, determined by the metrics, and returns its index. */
    int leader() throws Exception {
        int[] found = {-1};
        Waits.until(
                START_TIMEOUT_MS,
                "a leader",
                () -> {
                    for (int i = 0; i < CONTROL_NODES; i++) {
                        boolean leads =
                                control(i).isRunning()
                                        && metrics(controlIp(i))
                                                .body()
                                                .contains("cardamomthread_leads 1.0");
                        if (leads) {
                            found[0] = i;
                        }
                    }
                    return found[0] >= 0;
                });
        return found[0];
    }

    @Override
    public void close() throws Exception {
        for (ManagedProcess process : processes.values()) {
            process.close();
        }
    }

    /** Returns the end of every log, for the message of a failed assertion. */
    String logs() throws IOException {
        StringBuilder text = new StringBuilder("logs in ").append(folder);
        for (ManagedProcess process : processes.values()) {
            String log = process.log();
            text.append("\n--- ").append(log.substring(Math.max(0, log.length() - 1_500)));
        }
        return text.toString();
    }

    private void start(String name, String settings) throws IOException {
        Path file = folder.resolve(name + ".yaml");
        Files.writeString(file, settings);
        processes.put(
                name,
                ManagedProcess.startJar(name, folder, JAR, List.of("--settings", file.toString())));
    }

    private String settings(
            String role, String name, String ip, boolean isFirstStart, String listeners) {
        return """
               role: %s
               nodeName: "%s"
               ip: "%s"
               dataCentre: "perth-a"
               peerPort: %d
               peerKey: "a key for tests on loopback"
               firstStart: %s
               dataFolder: "%s"
               seeds: [%s]
               listeners:
                 metrics: "%s:%d"
               """
                        .formatted(
                                role,
                                name,
                                ip,
                                peerPort,
                                isFirstStart,
                                folder.resolve(name + "-data"),
                                String.join(
                                        ", ",
                                        controlAddresses().stream()
                                                .map(address -> '"' + address + '"')
                                                .toList()),
                                ip,
                                metricsPort)
                + listeners
                + """
                  limits: {revocationMs: 5000, leaseMs: 3000, shutdownMs: 8000, repeatRatio: 0.2,
                    repeatExtra: 50, repeatWindowS: 10, usageWindowS: 5, usageLateS: 10,
                    quotaWindowS: 8, quotaOvershoot: 0.1, quotaSlack: 100000,
                    canaryShare: 0.1, canaryExtra: 50}
                  """;
    }

    private HttpResponse<String> get(URI target) throws IOException, InterruptedException {
        return send(HttpRequest.newBuilder(target).GET());
    }

    private HttpResponse<String> send(HttpRequest.Builder request)
            throws IOException, InterruptedException {
        return http.send(
                request.timeout(CALL_TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
    }
}
