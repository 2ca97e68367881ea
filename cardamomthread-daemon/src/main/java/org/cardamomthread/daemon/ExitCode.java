package org.cardamomthread.daemon;

/** States how the daemon ended. Immutable. */
enum ExitCode {
    /** The node was told to stop and cut no request, or printed what it was asked for. */
    STOPPED(0),
    /** The node failed on a fault of its own; its log says which. */
    INTERNAL_FAILURE(1),
    /** The command line or the settings are wrong. */
    INVALID_SETTINGS(2),
    /** A listener's address could not be bound. */
    LISTEN_FAILURE(3),
    /** The data folder cannot be used. */
    STORAGE_FAILURE(4),
    /** The node was told to stop, but requests were still open at the end of the stated time. */
    STOPPED_WITH_OPEN_REQUESTS(5);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int getCode() {
        return code;
    }
}
