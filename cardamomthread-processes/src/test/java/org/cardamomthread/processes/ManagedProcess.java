package org.cardamomthread.processes;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs one program of the build as a process, with its output in a file.
 *
 * <p>Safe for use by several threads.
 */
final class ManagedProcess implements AutoCloseable {

    private static final String VERSION = "0.1.0";
    private static final long STOP_MS = 10_000;

    private final String name;
    private final Path log;
    private final Process process;

    private ManagedProcess(String name, Path log, Process process) {
        this.name = name;
        this.log = log;
        this.process = process;
    }

    /** Starts the jar of a module with its dependencies. */
    static ManagedProcess start(String name, Path folder, String module, List<String> arguments)
            throws IOException {
        Path jar = Path.of("..", module, "target", module + "-" + VERSION + "-all.jar");
        if (!Files.exists(jar)) {
            throw new IOException(jar + " does not exist: run mvn package first");
        }
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xms32m", "-Xmx192m", "-XX:+UseSerialGC"));
        command.addAll(List.of("-XX:TieredStopAtLevel=1", "-jar", jar.toString()));
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

    String log() throws IOException {
        return Files.readString(log);
    }

    boolean isRunning() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Stops without notice, as a lost host does. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Asks for a graceful shutdown. */
    void terminate() {
        process.destroy();
    }

    void freeze() throws IOException, InterruptedException {
        signal("-STOP");
    }

    void thaw() throws IOException, InterruptedException {
        signal("-CONT");
    }

    /** Waits for the exit and returns its code. */
    int awaitExit(long boundMs) throws InterruptedException, IOException {
        if (!process.waitFor(boundMs, TimeUnit.MILLISECONDS)) {
            throw new AssertionError(name + " did not exit within " + boundMs + " ms\n" + log());
        }
        return process.exitValue();
    }

    @Override
    public void close() throws IOException, InterruptedException {
        if (process.isAlive()) {
            thaw();
            process.destroyForcibly().waitFor(STOP_MS, TimeUnit.MILLISECONDS);
        }
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
