package review;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Runs control nodes and gateways with the commands of the deploy file, each on its own loopback
 * address, and acts as the operator. The working directory must be the root of the repository.
 */
final class Fleet implements AutoCloseable {

    private static final int OPERATOR_TIMEOUT_MS = 1_000;

    final int controlNodes;
    final int gateways;
    final String[] zones;
    final Record record;
    final int peerPort = freePort();
    final int controlPort = freePort();
    final int callersPort = freePort();
    final int readinessPort = freePort();
    final int metricsPort = freePort();
    private final Path folder;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private boolean isClosed;

    Fleet(int controlNodes, int gateways, String[] zones, Record record) throws IOException {
        this.controlNodes = controlNodes;
        this.gateways = gateways;
        this.zones = zones;
        this.record = record;
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static String controlIp(int index) {
        return "127.0.77." + (11 + index);
    }

    static String gatewayIp(int index) {
        return "127.0.77." + (31 + index);
    }

    String zone(int index) {
        return zones[index % zones.length];
    }

    /** Starts all nodes, sends the first document and waits until all gateways are ready. */
    void start(String document) throws Exception {
        for (int i = 0; i < controlNodes; i++) {
            startControl(i, true);
        }
        for (int i = 0; i < gateways; i++) {
            startGateway(i);
        }
        order("POST", "/Config.Replace", document, 30_000);
        for (int i = 0; i < gateways; i++) {
            awaitReady(i);
        }
        record.say("%d control nodes and %d gateways are ready", controlNodes, gateways);
    }

    void startControl(int index, boolean isFirstStart) throws IOException {
        String ip = controlIp(index);
        String extra =
                "dataFolder: \"" + folder.resolve("data-" + index) + "\"\nlisteners:\n  metrics: \""
                        + ip + ":" + metricsPort + "\"\n  control: \"" + ip + ":" + controlPort
                        + "\"\n";
        start("control", "control-" + index, ip, zone(index), isFirstStart, extra);
    }

    void startGateway(int index) throws IOException {
        String ip = gatewayIp(index);
        String extra =
                "listeners:\n  metrics: \"" + ip + ":" + metricsPort + "\"\n  callers: \"" + ip
                        + ":" + callersPort + "\"\n  readiness: \"" + ip + ":" + readinessPort
                        + "\"\n";
        start("gateway", "gateway-" + index, ip, zone(index), false, extra);
    }

    private void start(
            String role, String name, String ip, String zone, boolean isFirstStart, String extra)
            throws IOException {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, controlNodes); i++) {
            seeds.add("\"" + controlIp(i) + ":" + controlPort + "\"");
        }
        String settings =
                "role: " + role + "\nnodeName: \"" + name + "\"\nip: \"" + ip + "\"\ndataCentre: \""
                        + zone + "\"\npeerPort: " + peerPort
                        + "\npeerKey: \"one key for all nodes of a deployment\"\nfirstStart: "
                        + isFirstStart + "\nseeds: [" + String.join(", ", seeds) + "]\n" + extra
                        + "limits:\n  revocationMs: 5000\n  leaseMs: 3000\n  shutdownMs: 8000\n"
                        + "  repeatRatio: 0.2\n  repeatExtra: 54\n  repeatWindowS: 10\n"
                        + "  usageWindowS: 5\n  usageLateS: 10\n  quotaWindowS: 8\n"
                        + "  quotaOvershoot: 0.1\n  quotaSlack: 140000\n  canaryShare: 0.1\n"
                        + "  canaryExtra: 50\n";
        Path file = folder.resolve(name + ".yaml");
        Files.writeString(file, settings);
        List<String> command = new ArrayList<>();
        for (String word : deployCommand(role).split(" ")) {
            command.add(word.equals("/etc/cardamomthread/node.toml") ? file.toString() : word);
        }
        File log = folder.resolve(name + ".log").toFile();
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                        .start();
        processes.put(name, process);
        record.add("%s started on %s in %s, process %d", name, ip, zone, process.pid());
    }

    /** Returns the command of a role in the deploy file. */
    private static String deployCommand(String role) throws IOException {
        boolean isRole = false;
        for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            if (line.startsWith("[")) {
                isRole = line.equals("[roles." + role + "]");
            } else if (isRole && line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IllegalStateException("no command for role " + role);
    }

    Process process(String name) {
        return processes.get(name);
    }

    void signal(String name, String signal) throws Exception {
        record.say("%s gets SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid()))
                .start()
                .waitFor();
    }

    private void awaitReady(int gateway) throws Exception {
        long endMs = record.nowMs() + 30_000;
        while (record.nowMs() < endMs) {
            if (isReady(gateway)) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("gateway " + gateway + " does not become ready");
    }

    boolean isReady(int gateway) {
        try {
            Http.Message answer =
                    Http.call(
                            gatewayIp(gateway),
                            readinessPort,
                            "GET /readyz HTTP/1.1",
                            Map.of("Host", gatewayIp(gateway)),
                            new byte[0],
                            1_000);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the index of the control node that leads, by its own metrics, or -1. */
    int leader() {
        for (int i = 0; i < controlNodes; i++) {
            try {
                Http.Message answer =
                        Http.call(
                                controlIp(i),
                                metricsPort,
                                "GET /metrics HTTP/1.1",
                                Map.of("Host", controlIp(i)),
                                new byte[0],
                                1_000);
                if (answer != null && answer.text().contains("cardamomthread_leads 1.0")) {
                    return i;
                }
            } catch (IOException e) {
                record.add("no metrics of control-%d: %s", i, e.getMessage());
            }
        }
        return -1;
    }

    /** Sends one call of the operator to one node; returns its status, or 0 without an answer. */
    int orderOnce(int node, String method, String path, String body) {
        int status = 0;
        try {
            Http.Message answer =
                    Http.call(
                            controlIp(node),
                            controlPort,
                            method + " " + path + " HTTP/1.1",
                            Map.of("Host", controlIp(node), "Content-Type", "application/json"),
                            body.getBytes(),
                            OPERATOR_TIMEOUT_MS);
            status = answer == null ? 0 : answer.status();
        } catch (IOException e) {
            record.add("no answer of control-%d: %s", node, e.getMessage());
        }
        record.say("operator: %s %s to control-%d -> %s", method, path, node,
                status == 0 ? "no answer" : status);
        return status;
    }

    /** Sends a call to the nodes in turn until one acknowledges it. */
    void order(String method, String path, String body, long timeoutMs) throws Exception {
        long endMs = record.nowMs() + timeoutMs;
        for (int i = 0; record.nowMs() < endMs; i++) {
            if (orderOnce(i % controlNodes, method, path, body) == 200) {
                return;
            }
            Thread.sleep(200);
        }
        throw new IllegalStateException(path + " was not acknowledged in " + timeoutMs + " ms");
    }

    /** Returns the log of a node. */
    String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    /** Ends all processes that this object has started, also those that are stopped. */
    @Override
    public synchronized void close() {
        if (isClosed) {
            return;
        }
        isClosed = true;
        for (Process process : processes.values()) {
            process.destroyForcibly();
        }
        for (Process process : processes.values()) {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            if (System.getenv("KEEP_LOGS") == null) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } catch (IOException e) {
            System.err.println("the temporary folder is left: " + e.getMessage());
        }
    }
}
