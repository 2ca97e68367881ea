import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Plays the platform: starts the project's programs with the commands of the deploy file, each on a
 * loopback address of its own, and starts those again that end.
 */
final class Deployment implements AutoCloseable {

    /** Time after which a process that has ended is started again. */
    private static final long RESTART_DELAY_MS = 500;

    final int peerPort;
    final int controlPort;
    final int callersPort;
    final int readinessPort;
    private final Path folder;
    private final Record record;
    private final Map<String, String> bounds;
    private final String platform;
    private final int network = 2 + new Random().nextInt(250);
    private final Map<String, Machine> machines =
            java.util.Collections.synchronizedMap(new LinkedHashMap<>());
    private final Thread supervisor = new Thread(this::supervise, "supervisor");
    private volatile boolean isClosing;

    /** A machine with the one process that it runs. */
    final class Machine {
        final String name;
        final String role;
        final String ip;
        private Process process;
        private boolean isFirstStart;
        private boolean isKeptDown;
        private int disks = 1;
        private long endedMs;
        private int ends;

        Machine(String name, String role, String ip, boolean isFirstStart) {
            this.name = name;
            this.role = role;
            this.ip = ip;
            this.isFirstStart = isFirstStart;
        }

        /** Returns how often the process has ended by itself. */
        synchronized int ends() {
            return ends;
        }

        synchronized boolean isRunning() {
            return process != null && process.isAlive();
        }

        private synchronized void start() throws IOException {
            Path settings = folder.resolve(name + ".yaml");
            Files.writeString(settings, render(this));
            List<String> command = new ArrayList<>();
            for (String word : runCommand(role).split(" ")) {
                boolean isSettings = word.equals("/etc/cardamomthread/node.toml");
                command.add(isSettings ? settings.toString() : word);
            }
            process =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    ProcessBuilder.Redirect.appendTo(
                                            folder.resolve(name + ".log").toFile()))
                            .start();
            process.getOutputStream().close();
            endedMs = 0;
            isFirstStart = false;
        }

        /** Sends a signal to the process that was started last. */
        synchronized void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        /** Stops the process for good, as when the machine is taken away. */
        void remove() throws Exception {
            synchronized (this) {
                isKeptDown = true;
            }
            signal("TERM");
            process.waitFor();
        }

        /** Ends the process at once and starts it again later on an empty disk. */
        void loseDisk(long downMs) throws Exception {
            synchronized (this) {
                isKeptDown = true;
            }
            signal("KILL");
            process.waitFor();
            Thread.sleep(downMs);
            synchronized (this) {
                disks++;
                start();
                isKeptDown = false;
            }
        }

        private synchronized void check() throws IOException {
            if (process == null || process.isAlive() || isKeptDown || isClosing) {
                return;
            }
            long nowMs = System.nanoTime() / 1_000_000;
            if (endedMs == 0) {
                endedMs = nowMs;
                ends++;
                record.line("ENDED " + name + " by itself, exit code " + process.exitValue());
            } else if (nowMs - endedMs >= RESTART_DELAY_MS) {
                record.line("started " + name + " again");
                start();
            }
        }
    }

    Deployment(Record record, Map<String, String> bounds, String platform) throws IOException {
        this.record = record;
        this.bounds = bounds;
        this.platform = platform;
        folder = Files.createTempDirectory("review-3-");
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < 4) {
            int port = freePort("127.0.0.1");
            if (!ports.contains(port)) {
                ports.add(port);
            }
        }
        peerPort = ports.get(0);
        controlPort = ports.get(1);
        callersPort = ports.get(2);
        readinessPort = ports.get(3);
        supervisor.setDaemon(true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
            return socket.getLocalPort();
        }
    }

    String ip(int host) {
        return "127." + network + ".0." + host;
    }

    /** Starts control nodes and gateways on empty machines. */
    void start(int controlNodes, int gateways) throws IOException {
        for (int i = 0; i < controlNodes; i++) {
            add("control-" + (i + 1), "control", ip(11 + i));
        }
        for (int i = 0; i < gateways; i++) {
            add("gateway-" + (i + 1), "gateway", ip(31 + i));
        }
        for (Machine machine : machines.values()) {
            machine.start();
        }
        supervisor.start();
    }

    private Machine add(String name, String role, String ip) {
        Machine machine = new Machine(name, role, ip, !supervisor.isAlive());
        machines.put(name, machine);
        return machine;
    }

    /** Starts a control node on a machine that is new in the deployment. */
    Machine addControlNode() throws IOException {
        int index = machines("control").size();
        Machine machine = add("control-" + (index + 1), "control", ip(11 + index));
        machine.start();
        return machine;
    }

    Machine machine(String name) {
        return machines.get(name);
    }

    List<Machine> machines(String role) {
        return machines.values().stream().filter(machine -> machine.role.equals(role)).toList();
    }

    List<String> controlIps() {
        return machines("control").stream().map(machine -> machine.ip).toList();
    }

    List<String> gatewayIps() {
        return machines("gateway").stream().map(machine -> machine.ip).toList();
    }

    /** Waits until all gateways say that they are ready. */
    boolean awaitReady(long timeoutMs) throws InterruptedException {
        long endMs = System.nanoTime() / 1_000_000 + timeoutMs;
        for (String ip : gatewayIps()) {
            while (status(ip) != 200) {
                if (System.nanoTime() / 1_000_000 > endMs) {
                    return false;
                }
                Thread.sleep(100);
            }
        }
        return true;
    }

    private int status(String ip) {
        try {
            return Http.call(ip, readinessPort, "GET", "/readyz", List.of(), new byte[0], 1_000)
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }

    private static String runCommand(String role) throws IOException {
        String text = Files.readString(Path.of("deploy", "system.toml"));
        Matcher matcher =
                Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(text);
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml has no role " + role);
        }
        return matcher.group(1);
    }

    /** Fills in deploy/settings.yaml, as far as that template uses the platform's syntax. */
    private String render(Machine machine) throws IOException {
        boolean isControl = machine.role.equals("control");
        Map<String, String> values = new LinkedHashMap<>();
        values.put("role", machine.role);
        values.put("nodeName", machine.name);
        values.put("ip", machine.ip);
        values.put("zone", "zone-a");
        values.put("internalPorts.0", Integer.toString(peerPort));
        values.put("bootstrap", Boolean.toString(machine.isFirstStart));
        if (isControl) {
            values.put("dataDir", folder.resolve(machine.name + "-disk-" + machine.disks).toString());
            values.put("listen.controlPlane", machine.ip + ":" + controlPort);
        } else {
            values.put("listen.frontend", machine.ip + ":" + callersPort);
            values.put("listen.readiness", machine.ip + ":" + readinessPort);
        }
        values.put("cloud.address", platform);
        values.put("faultTolerance.machines", "1");
        bounds.forEach((name, value) -> values.put("bounds." + name, value));
        String text = Files.readString(Path.of("deploy", "settings.yaml"));
        StringBuilder seeds = new StringBuilder();
        for (String ip : controlIps().subList(0, Math.min(3, controlIps().size()))) {
            seeds.append(seeds.length() == 0 ? "" : ",").append("\"" + ip + ":" + controlPort + "\"");
        }
        text =
                Pattern.compile("\\{\\{#seeds\\}\\}.*?\\{\\{/seeds\\}\\}", Pattern.DOTALL)
                        .matcher(text)
                        .replaceAll(Matcher.quoteReplacement(seeds.toString()));
        Matcher section =
                Pattern.compile("\\{\\{#([\\w.]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL)
                        .matcher(text);
        StringBuilder withoutSections = new StringBuilder();
        while (section.find()) {
            String value = values.get(section.group(1));
            String content = value == null ? "" : section.group(2).replace("{{.}}", value);
            section.appendReplacement(withoutSections, Matcher.quoteReplacement(content));
        }
        section.appendTail(withoutSections);
        text = withoutSections.toString();
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        return text;
    }

    private void supervise() {
        try {
            while (!isClosing) {
                for (Machine machine : List.copyOf(machines.values())) {
                    machine.check();
                }
                Thread.sleep(50);
            }
        } catch (InterruptedException | IOException e) {
            record.line("the supervisor ended: " + e);
        }
    }

    private void endAll() {
        isClosing = true;
        for (Machine machine : machines.values()) {
            synchronized (machine) {
                if (machine.process != null) {
                    machine.process.destroyForcibly();
                }
            }
        }
    }

    @Override
    public void close() throws Exception {
        endAll();
        for (Machine machine : machines.values()) {
            if (machine.process != null) {
                machine.process.waitFor(5, TimeUnit.SECONDS);
            }
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    /** The bounds of a small deployment, as on the page of the settings. */
    static Map<String, String> standardBounds() {
        Map<String, String> bounds = new LinkedHashMap<>();
        bounds.put("revokeMs", "5000");
        bounds.put("leaseMs", "3000");
        bounds.put("graceS", "8");
        bounds.put("retryBudgetRatio", "0.2");
        bounds.put("retryBudgetExtra", "54");
        bounds.put("budgetWindowS", "10");
        bounds.put("usageWindowS", "5");
        bounds.put("usageLateS", "10");
        bounds.put("quotaWindowS", "8");
        bounds.put("quotaOvershoot", "0.1");
        bounds.put("quotaSlack", "140000");
        bounds.put("exposureShare", "0.1");
        bounds.put("exposureSlack", "50");
        return bounds;
    }
}
