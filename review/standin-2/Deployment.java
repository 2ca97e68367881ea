import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Starts the project's programs as processes with the commands and the settings template of the
 * deploy file, each on a loopback address of its own, and ends them.
 */
final class Deployment implements AutoCloseable {

    private static final String SETTINGS_PATH = "/etc/cardamomthread/node.toml";

    final Path folder;
    final int controlPort;
    final int peerPort;
    final int callersPort;
    final int readinessPort;

    private final Record record;
    private final String network;
    private volatile List<Integer> seeds;
    private final String platformAddress;
    private final Map<String, Process> processes = new LinkedHashMap<>();

    Deployment(Record record, int seedCount, String platformAddress) throws IOException {
        this.record = record;
        seeds = IntStream.range(0, seedCount).boxed().toList();
        this.platformAddress = platformAddress;
        folder = Files.createTempDirectory("review-case");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        network = "127." + random.nextInt(1, 250) + "." + random.nextInt(1, 250) + ".";
        controlPort = freePort();
        peerPort = freePort();
        callersPort = freePort();
        readinessPort = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    String controlIp(int index) {
        return network + (11 + index);
    }

    String gatewayIp(int index) {
        return network + (31 + index);
    }

    String serverIp(int index) {
        return network + (61 + index);
    }

    /** Names other control nodes as seeds in the settings that are written from now on. */
    void exchangeSeeds(List<Integer> newSeeds) {
        seeds = List.copyOf(newSeeds);
        record.add("the settings name the seeds " + newSeeds);
    }

    void startControl(int index, boolean isFirstStart) throws IOException {
        Map<String, Object> fields = commonFields("control", "core-" + index, controlIp(index));
        fields.put("bootstrap", isFirstStart);
        Path data = dataFolder(index);
        Files.createDirectories(data);
        fields.put("dataDir", data.toString());
        fields.put("listen", Map.of("controlPlane", controlIp(index) + ":" + controlPort));
        start("control", "core-" + index, fields);
    }

    void startGateway(int index) throws IOException {
        Map<String, Object> fields = commonFields("gateway", "edge-" + index, gatewayIp(index));
        fields.put("bootstrap", false);
        fields.put(
                "listen",
                Map.of(
                        "frontend",
                        gatewayIp(index) + ":" + callersPort,
                        "readiness",
                        gatewayIp(index) + ":" + readinessPort));
        start("gateway", "edge-" + index, fields);
    }

    /** Removes what a stopped control node has stored, as the loss of its disk does. */
    void loseDisk(int index) throws IOException {
        try (Stream<Path> files = Files.walk(dataFolder(index))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private Path dataFolder(int index) {
        return folder.resolve("core-" + index + "-data");
    }

    Path log(String name) {
        return folder.resolve(name + ".log");
    }

    Process process(String name) {
        return processes.get(name);
    }

    void kill(String name) throws InterruptedException {
        Process process = processes.get(name);
        process.destroyForcibly();
        process.waitFor();
        record.add("killed " + name);
    }

    void signal(String name, String signal) throws IOException, InterruptedException {
        long pid = processes.get(name).pid();
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
        record.add("sent SIG" + signal + " to " + name);
    }

    boolean isRunning(String name) {
        Process process = processes.get(name);
        return process != null && process.isAlive();
    }

    private Map<String, Object> commonFields(String role, String name, String ip) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("role", role);
        fields.put("nodeName", name);
        fields.put("ip", ip);
        fields.put("zone", "zone-a");
        fields.put("internalPorts", List.of(peerPort, peerPort));
        fields.put(
                "seeds", seeds.stream().map(seed -> controlIp(seed) + ":" + controlPort).toList());
        if (platformAddress != null) {
            fields.put("cloud", Map.of("address", platformAddress));
        }
        fields.put("faultTolerance", Map.of("machines", 1));
        Map<String, Object> bounds = new LinkedHashMap<>();
        bounds.put("revokeMs", 5000);
        bounds.put("leaseMs", 3000);
        bounds.put("graceS", 8);
        bounds.put("retryBudgetRatio", 0.2);
        bounds.put("retryBudgetExtra", 54);
        bounds.put("budgetWindowS", 10);
        bounds.put("usageWindowS", 5);
        bounds.put("usageLateS", 10);
        bounds.put("quotaWindowS", 8);
        bounds.put("quotaOvershoot", 0.1);
        bounds.put("quotaSlack", 140000);
        bounds.put("exposureShare", 0.1);
        bounds.put("exposureSlack", 50);
        fields.put("bounds", bounds);
        return fields;
    }

    private void start(String role, String name, Map<String, Object> fields) throws IOException {
        Path settings = folder.resolve(name + ".yaml");
        Files.writeString(
                settings, Template.render(Files.readString(Path.of("deploy/settings.yaml")), fields));
        List<String> command = new ArrayList<>();
        for (String word : command(role)) {
            command.add(word.equals(SETTINGS_PATH) ? settings.toString() : word);
        }
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(
                                ProcessBuilder.Redirect.appendTo(log(name).toFile()))
                        .start();
        processes.put(name, process);
        record.add("started " + name + " at " + fields.get("ip"));
    }

    private static String[] command(String role) throws IOException {
        Pattern pattern =
                Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"", Pattern.DOTALL);
        Matcher matcher = pattern.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        return matcher.group(1).split(" ");
    }

    private void killAll() {
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws Exception {
        killAll();
        for (Process process : processes.values()) {
            process.waitFor();
        }
        if (System.getenv("KEEP") != null) {
            record.add("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
