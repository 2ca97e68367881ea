package org.cardamomthread.processes.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.processes.ManagedProcess;
import org.cardamomthread.processes.Ports;
import org.cardamomthread.processes.Waits;

/**
 * One node process whose start the test interferes with. No other node runs, so that the node never
 * becomes ready; it is started once it has opened its listeners.
 *
 * <p>Not thread-safe.
 */
final class StartingNode implements AutoCloseable {

    private static final long START_TIMEOUT_MS = 60_000;

    /** Above the time for which a test holds an address, and below that for which it waits. */
    private static final String START_TIMEOUT_OF_NODE_MS = "15000";

    private static final Path JAR = Path.of("..", "target", "cardamomthread.jar");
    private static final String IP = "127.0.0.31";

    private final String role;
    private final Path folder;
    private final int peerPort = Ports.reserve();
    private final int servicePort = Ports.reserve();
    private final int readinessPort = Ports.reserve();
    private final int metricsPort = Ports.reserve();
    private ManagedProcess process;

    StartingNode(String role) throws IOException {
        this.role = role;
        folder = Files.createTempDirectory("starting-node");
    }

    /** Starts another process of a node with its folder and its address, but with own ports. */
    StartingNode createTwin() throws IOException {
        return new StartingNode(this);
    }

    private StartingNode(StartingNode other) throws IOException {
        role = other.role;
        folder = other.folder;
    }

    Path settingsFile() {
        return folder.resolve("node-" + peerPort + ".yaml");
    }

    Path dataFolder() {
        return folder.resolve("data");
    }

    String ip() {
        return IP;
    }

    int port(String listener) {
        return switch (listener) {
            case "peers" -> peerPort;
            case "readiness" -> readinessPort;
            case "metrics" -> metricsPort;
            default -> servicePort;
        };
    }

    /** Starts the process with whatever the settings file is. */
    ManagedProcess startProcess() throws IOException {
        process =
                ManagedProcess.startJar(
                        role + peerPort,
                        folder,
                        JAR,
                        List.of(
                                "--settings",
                                settingsFile().toString(),
                                "--start-timeout-ms",
                                START_TIMEOUT_OF_NODE_MS));
        return process;
    }

    ManagedProcess start() throws IOException {
        writeSettings(settings());
        return startProcess();
    }

    /** Starts the process with the given options for the size of its memory. */
    ManagedProcess start(List<String> memoryOptions) throws IOException {
        writeSettings(settings());
        process =
                ManagedProcess.startJar(
                        role + peerPort,
                        folder,
                        JAR,
                        memoryOptions,
                        List.of("--settings", settingsFile().toString()));
        return process;
    }

    /** Replaces the settings file in one step. */
    void writeSettings(String content) throws IOException {
        Path temporary = folder.resolve("settings.new");
        Files.writeString(temporary, content);
        Files.move(
                temporary,
                settingsFile(),
                StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
    }

    /** Makes the settings file a pipe, so that the process waits in its start until it is fed. */
    void makeSettingsPipe() throws IOException, InterruptedException {
        int code =
                new ProcessBuilder("mkfifo", settingsFile().toString())
                        .inheritIO()
                        .start()
                        .waitFor();
        if (code != 0) {
            throw new IOException("mkfifo failed with code " + code);
        }
    }

    /** Waits until the process reads the settings pipe. */
    OutputStream awaitSettingsReader() throws IOException {
        return Files.newOutputStream(settingsFile(), StandardOpenOption.WRITE);
    }

    /** Waits until a text is in the log, or fails if the process ends before. */
    void awaitLog(String text) throws Exception {
        Waits.until(
                START_TIMEOUT_MS,
                "\"" + text + "\" in the log",
                () -> logWithPlainSlashes().contains(text) || !process.isRunning());
        process.requireRunning();
    }

    /** Returns the log without the escapes that the JSON encoder puts before slashes. */
    private String logWithPlainSlashes() throws IOException {
        return process.log().replace("\\/", "/");
    }

    void awaitStarted() throws Exception {
        awaitLog("node-started");
    }

    /** Fails if the process ends within a second. */
    void requireStillRunning() throws Exception {
        TimeUnit.SECONDS.sleep(1);
        process.requireRunning();
    }

    String settings() {
        String listeners =
                role.equals("gateway")
                        ? "  callers: \"%s:%d\"\n  readiness: \"%s:%d\"\n"
                                .formatted(IP, servicePort, IP, readinessPort)
                        : "  control: \"%s:%d\"\n".formatted(IP, servicePort);
        return """
               role: %s
               nodeName: "%s"
               ip: "%s"
               dataCentre: "perth-a"
               peerPort: %d
               peerKey: "a key for tests on loopback"
               firstStart: true
               dataFolder: "%s"
               seeds: ["%s:%d"]
               listeners:
                 metrics: "%s:%d"
               """
                        .formatted(
                                role,
                                role,
                                IP,
                                peerPort,
                                dataFolder(),
                                IP,
                                servicePort,
                                IP,
                                metricsPort)
                + listeners
                + """
                  limits: {revocationMs: 5000, leaseMs: 3000, shutdownMs: 8000, repeatRatio: 0.2,
                    repeatExtra: 50, repeatWindowS: 10, usageWindowS: 5, usageLateS: 10,
                    quotaWindowS: 8, quotaOvershoot: 0.1, quotaSlack: 100000}
                  """;
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null) {
            process.close();
        }
    }
}
