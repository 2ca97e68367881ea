package org.cardamomthread.daemon.start;

import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.http.ListenerBindException;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.storage.StorageCorruptedException;
import org.cardamomthread.replication.storage.StorageIdentityException;
import org.cardamomthread.transport.TransportStartException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one node in this process: starts it, again if that fails for a reason that may pass, and
 * stops it when the process is told to.
 *
 * <p>Invariant: at most one node exists at a time, and an order to stop ends the process in every
 * phase of the start. Thread-safe.
 */
public final class NodeProcess {

    /** Default time for which addresses and data folders in use are waited for. */
    public static final long DEFAULT_START_PERIOD_MS = StartRetryPolicy.DEFAULT_RESOURCE_PERIOD_MS;

    /** Time that an order to stop gives an attempt in progress to become a node or to fail. */
    private static final long STOP_WAIT_MS = 1_000;

    private final NodeFactory nodeFactory;
    private final SettingsReloader reloader;
    private final ExitAction exit;
    private final TimeSource timeSource;
    private final StartRetryPolicy retryPolicy;
    private final Sleeper sleeper;

    /** Held during an attempt to start, and for good once the process has been told to stop. */
    private final ReentrantLock attemptLock = new ReentrantLock();

    private StartableNode startedNode;

    /** Waits between two attempts. */
    @FunctionalInterface
    interface Sleeper {

        /** Waits for a time, in milliseconds. */
        void sleep(long durationMs) throws InterruptedException;
    }

    /**
     * Holds what an attempt failed with.
     *
     * @param code the exit code, should the process end
     * @param isPermanent whether another attempt would fail in the same way
     */
    private record Failure(DaemonExitCode code, boolean isPermanent, String message) {}

    /**
     * Creates the runner of a node.
     *
     * @param nodeFactory creates the node, anew for each attempt to start it
     * @param reloader validates changed settings
     * @param exit ends the process
     * @param timeSource the clock that bounds the attempts
     * @param startPeriodMs how long addresses and data folders in use are waited for, in
     *     milliseconds
     */
    public NodeProcess(
            NodeFactory nodeFactory,
            SettingsReloader reloader,
            ProcessExit exit,
            TimeSource timeSource,
            long startPeriodMs) {
        this(nodeFactory, reloader, exit, timeSource, startPeriodMs, Thread::sleep);
    }

    NodeProcess(
            NodeFactory nodeFactory,
            SettingsReloader reloader,
            ExitAction exit,
            TimeSource timeSource,
            long startPeriodMs,
            Sleeper sleeper) {
        this.nodeFactory = nodeFactory;
        this.reloader = reloader;
        this.exit = exit;
        this.timeSource = timeSource;
        this.retryPolicy = new StartRetryPolicy(startPeriodMs);
        this.sleeper = sleeper;
    }

    /** Makes SIGTERM and SIGINT stop the node, or the process if the node has not started yet. */
    public void installShutdownHook() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "shutdown"));
    }

    /**
     * Starts the node; the settings are read anew for each attempt. Ends the process if it cannot
     * be started within the period of {@link StartRetryPolicy}.
     *
     * @param settingsFile the settings file
     */
    public void run(Path settingsFile) {
        reloader.setFile(settingsFile);
        for (int failures = 1; ; failures++) {
            Failure failure = tryStart(settingsFile);
            if (failure == null) {
                return;
            }
            OptionalLong delayMs =
                    failure.isPermanent()
                            ? OptionalLong.empty()
                            : retryPolicy.recordFailure(failure.code(), timeSource.monotonicMs());
            if (delayMs.isEmpty()) {
                logger().atError().addKeyValue("event", "start-failed").log(failure.message());
                exit.end(failure.code(), failure.message());
                return;
            }
            logger().atWarn()
                    .addKeyValue("event", "start-delayed")
                    .addKeyValue("failures", failures)
                    .addKeyValue("retryInMs", delayMs.getAsLong())
                    .log(failure.message());
            try {
                sleeper.sleep(delayMs.getAsLong());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                exit.end(DaemonExitCode.INTERNAL_FAILURE, "the start was interrupted");
                return;
            }
        }
    }

    /** Returns what the start failed with, or null if the node has started. */
    private Failure tryStart(Path settingsFile) {
        attemptLock.lock();
        try {
            StartableNode node = nodeFactory.create(settingsFile);
            try {
                node.start();
                startedNode = node;
                return null;
            } finally {
                if (startedNode == null) {
                    node.close();
                }
            }
        } catch (InvalidDocumentException e) {
            return new Failure(DaemonExitCode.INVALID_SETTINGS, false, e.getMessage());
        } catch (StorageException e) {
            boolean isPermanent =
                    e instanceof StorageCorruptedException || e instanceof StorageIdentityException;
            return new Failure(DaemonExitCode.STORAGE_FAILURE, isPermanent, e.getMessage());
        } catch (ListenerBindException | TransportStartException e) {
            return new Failure(DaemonExitCode.LISTEN_FAILURE, false, e.getMessage());
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
            logger().error("an attempt to start the node failed", e);
            return new Failure(DaemonExitCode.INTERNAL_FAILURE, false, "the start failed: " + e);
        } finally {
            attemptLock.unlock();
        }
    }

    /** Runs as the shutdown hook, which has to halt the process to set its exit code. */
    void stop() {
        if (!waitForAttempt() || startedNode == null) {
            exit.end(DaemonExitCode.STOPPED, "told to stop before the node had started");
            return;
        }
        try {
            if (startedNode.stopGracefully()) {
                exit.end(DaemonExitCode.STOPPED, "told to stop");
            } else {
                exit.end(
                        DaemonExitCode.STOPPED_WITH_OPEN_REQUESTS,
                        "told to stop; requests were open at the end of the shutdown timeout");
            }
        } catch (RuntimeException e) {
            logger().error("the node failed while stopping", e);
            exit.end(DaemonExitCode.INTERNAL_FAILURE, "the node failed while stopping: " + e);
        }
    }

    /** Returns whether no attempt is in progress; no other one begins after that. */
    private boolean waitForAttempt() {
        try {
            return attemptLock.tryLock(STOP_WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns the logger when it is needed: the settings decide how it is configured. */
    private static Logger logger() {
        return LoggerFactory.getLogger(NodeProcess.class);
    }
}
