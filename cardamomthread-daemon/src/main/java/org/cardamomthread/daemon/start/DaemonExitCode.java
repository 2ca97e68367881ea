package org.cardamomthread.daemon.start;

/** Exit codes of the daemon. Immutable. */
public enum DaemonExitCode {
    /**
     * The node was told to stop and completed all open requests, or the requested help or version
     * was printed.
     */
    STOPPED(0),
    /** The node failed because of an internal error, which its log names. */
    INTERNAL_FAILURE(1),
    /** The command line or the settings are invalid. */
    INVALID_SETTINGS(2),
    /** A listener's address could not be bound. */
    LISTEN_FAILURE(3),
    /** The data folder cannot be used. */
    STORAGE_FAILURE(4),
    /**
     * The node was told to stop, but requests were still open when the shutdown timeout elapsed.
     */
    STOPPED_WITH_OPEN_REQUESTS(5);

    private final int code;

    DaemonExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the code that the process exits with.
     *
     * @return the exit code
     */
    public int getCode() {
        return code;
    }
}
