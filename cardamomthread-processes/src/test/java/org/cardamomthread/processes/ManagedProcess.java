package org.cardamomthread.processes;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process that runs a jar of the build and writes its output to a log file.
 *
 * <p>Safe for use by several threads.
 */
public final class ManagedProcess implements AutoCloseable {

    private static final String VERSION = "0.1.0";
    private static final long STOP_TIMEOUT_MS = 10_000;
    private static final List<String> HEAP_OPTIONS = List.of("-Xms32m", "-Xmx192m");

    private final String name;
    private final Path log;
    private final Process process;

    private ManagedProcess(String name, Path log, Process process) {
        this.name = name;
        this.log = log;
        this.process = process;
    }

    /** Starts the jar of a module that includes its dependencies. */
    static ManagedProcess start(String name, Path folder, String module, List<String> arguments)
            throws IOException {
        Path jar = Path.of("..", module, "target", module + "-" + VERSION + "-all.jar");
        return startJar(name, folder, jar, arguments);
    }

    /** Starts a self-contained jar. */
    public static ManagedProcess startJar(
            String name, Path folder, Path jar, List<String> arguments) throws IOException {
        return startJar(name, folder, jar, HEAP_OPTIONS, arguments);
    }

    /** Starts a self-contained jar with options for the size of its memory. */
    public static ManagedProcess startJar(
            String name, Path folder, Path jar, List<String> memoryOptions, List<String> arguments)
            throws IOException {
        if (!Files.exists(jar)) {
            throw new IOException(jar + " does not exist; run mvn package first");
        }
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(memoryOptions);
        command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-jar", jar.toString()));
        command.addAll(arguments);
        Path log = folder.resolve(name + ".log");
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        return new ManagedProcess(name, log, process);
    }

    String name() {
        return name;
    }

    public String log() throws IOException {
        return Files.readString(log);
    }

    public boolean isRunning() {
        return process.isAlive();
    }

    /** Fails with the exit code and the last log line if the process has ended. */
    public void requireRunning() throws IOException {
        if (!process.isAlive()) {
            String[] lines = log().strip().split("\n");
            throw new AssertionError(
                    name
                            + " exited with code "
                            + process.exitValue()
                            + ": "
                            + lines[lines.length - 1]);
        }
    }

    public long pid() {
        return process.pid();
    }

    /** Kills the process without a graceful shutdown, as a host failure does. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Requests a graceful shutdown. */
    public void terminate() {
        process.destroy();
    }

    public void suspend() throws IOException, InterruptedException {
        signal("-STOP");
    }

    public void resume() throws IOException, InterruptedException {
        signal("-CONT");
    }

    /** Tells the process that its settings file has changed. */
    public void hangUp() throws IOException, InterruptedException {
        signal("-HUP");
    }

    /** Waits for the process to exit and returns its exit code. */
    public int awaitExit(long timeoutMs) throws InterruptedException, IOException {
        if (!process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) {
            throw new AssertionError(name + " did not exit within " + timeoutMs + " ms\n" + log());
        }
        return process.exitValue();
    }

    /** Kills the process, which may be suspended, or may end at the same time. */
    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void signal(String option) throws IOException, InterruptedException {
        int code =
                new ProcessBuilder("kill", option, Long.toString(process.pid()))
                        .redirectErrorStream(true)
                        .redirectOutput(new File("/dev/null"))
                        .start()
                        .waitFor();
        if (code != 0) {
            throw new IOException("kill " + option + " of " + name + " failed with code " + code);
        }
    }
}
