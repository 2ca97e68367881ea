package org.cardamomthread.daemon.start;

import java.nio.file.Path;
import java.util.OptionalLong;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.core.CardamomthreadException;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.replication.StorageException;
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

    private final NodeFactory nodeFactory;
    private final SettingsReloader reloader;
    private final ProcessExit exit;
    private final TimeSource timeSource;
    private final StartRetryPolicy retryPolicy = new StartRetryPolicy();
    private volatile StartableNode startedNode;

    /**
     * Creates the runner of a node.
     *
     * @param nodeFactory creates the node, anew for each attempt to start it
     * @param reloader validates changed settings
     * @param exit ends the process
     * @param timeSource the clock that bounds the attempts
     */
    public NodeProcess(
            NodeFactory nodeFactory,
            SettingsReloader reloader,
            ProcessExit exit,
            TimeSource timeSource) {
        this.nodeFactory = nodeFactory;
        this.reloader = reloader;
        this.exit = exit;
        this.timeSource = timeSource;
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
        long firstFailureMs = 0;
        for (int failures = 1; ; failures++) {
            CardamomthreadException failure = tryStart(settingsFile);
            if (failure == null) {
                return;
            }
            long nowMs = timeSource.monotonicMs();
            firstFailureMs = failures == 1 ? nowMs : firstFailureMs;
            DaemonExitCode code = toExitCode(failure);
            OptionalLong delayMs =
                    retryPolicy.delayBeforeRetryMs(code, failures, nowMs - firstFailureMs);
            if (delayMs.isEmpty()) {
                logger().atError().addKeyValue("event", "start-failed").log(failure.getMessage());
                exit.end(code, failure.getMessage());
                return;
            }
            logger().atWarn()
                    .addKeyValue("event", "start-delayed")
                    .addKeyValue("failures", failures)
                    .addKeyValue("retryInMs", delayMs.getAsLong())
                    .log(failure.getMessage());
            sleep(delayMs.getAsLong());
        }
    }

    /** Returns what the start failed with, or null if the node has started. */
    private CardamomthreadException tryStart(Path settingsFile) {
        StartableNode node;
        try {
            node = nodeFactory.create(settingsFile);
        } catch (InvalidDocumentException e) {
            return e;
        }
        reloader.setFile(settingsFile);
        try {
            node.start();
            startedNode = node;
            return null;
        } catch (CardamomthreadException e) {
            node.close();
            return e;
        }
    }

    /** Runs as the shutdown hook, which has to halt the process to set its exit code. */
    private void stop() {
        StartableNode node = startedNode;
        if (node == null) {
            exit.end(DaemonExitCode.STOPPED, "told to stop before the node had started");
            return;
        }
        try {
            if (node.stopGracefully()) {
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

    private static DaemonExitCode toExitCode(CardamomthreadException failure) {
        if (failure instanceof InvalidDocumentException) {
            return DaemonExitCode.INVALID_SETTINGS;
        }
        return failure instanceof StorageException
                ? DaemonExitCode.STORAGE_FAILURE
                : DaemonExitCode.LISTEN_FAILURE;
    }

    /** Returns the logger when it is needed: the settings decide how it is configured. */
    private static Logger logger() {
        return LoggerFactory.getLogger(NodeProcess.class);
    }

    private static void sleep(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
