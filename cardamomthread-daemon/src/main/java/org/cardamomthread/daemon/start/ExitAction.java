package org.cardamomthread.daemon.start;

/** Ends the process. Implementations are thread-safe. */
@FunctionalInterface
interface ExitAction {

    /**
     * Ends the process with a code.
     *
     * @param code the exit code
     * @param reason what made the process end, for people
     */
    void end(DaemonExitCode code, String reason);
}
