package org.cardamomthread.daemon.start;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.PrintStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cardamomthread.daemon.telemetry.DaemonLogConfigurator;

/**
 * Ends the process with one last line on standard output that states the exit code, its reason and
 * the age of the process.
 *
 * <p>The line is written without the logging library, which may not be configured yet, and the
 * process ends even if nobody reads standard output. Only the first call has an effect.
 * Thread-safe.
 */
public final class ProcessExit implements ExitAction {

    private static final long STOP_LOG_TIMEOUT_MS = 1_000;
    private static final long WRITE_TIMEOUT_MS = 500;

    private final long startNs = System.nanoTime();
    private final AtomicBoolean isEnding = new AtomicBoolean();
    private final PrintStream out;

    /**
     * Creates an instance; the age of the process counts from here.
     *
     * @param out standard output
     */
    public ProcessExit(PrintStream out) {
        this.out = out;
    }

    /**
     * Writes the last line and halts the process.
     *
     * @param code the exit code
     * @param reason what made the process end, for people
     */
    @Override
    public void end(DaemonExitCode code, String reason) {
        if (!isEnding.compareAndSet(false, true)) {
            awaitHalt();
            return;
        }
        try {
            String line = createLine(code, reason);
            runFor(STOP_LOG_TIMEOUT_MS, DaemonLogConfigurator::stop);
            runFor(WRITE_TIMEOUT_MS, () -> write(line));
        } finally {
            Runtime.getRuntime().halt(code.getCode());
        }
    }

    /**
     * Returns the line; not part of what is timed, since the classes that it loads take longer than
     * that on a slow host.
     */
    private String createLine(DaemonExitCode code, String reason) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("event", "process-exit")
                .put("code", code.getCode())
                .put("reason", reason)
                .put("ageMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs))
                .toString();
    }

    private void write(String line) {
        out.println(line);
        out.flush();
    }

    /** Keeps a shutdown hook from returning, which would end the process before its last line. */
    private static void awaitHalt() {
        try {
            Thread.sleep(STOP_LOG_TIMEOUT_MS + WRITE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs an action on a thread of its own, since a pipe that nobody reads blocks its writer. */
    private static void runFor(long timeoutMs, Runnable action) {
        Thread thread = new Thread(action, "process-exit");
        thread.setDaemon(true);
        thread.start();
        try {
            thread.join(timeoutMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
