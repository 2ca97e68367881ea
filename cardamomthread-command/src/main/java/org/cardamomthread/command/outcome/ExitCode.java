package org.cardamomthread.command.outcome;

/** The exit codes of the command line tool. The meaning of a number never changes. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "success"),
    /** A file is invalid; nothing was sent. */
    INVALID(1, "a file is invalid, nothing was sent"),
    /** The command line is invalid; nothing was sent. */
    USAGE(2, "the command line is invalid, nothing was sent"),
    /** The configuration has changed in the meantime; nothing was changed. */
    CONFLICT(3, "the configuration has changed in the meantime, nothing was changed"),
    /** The system rejected the change or did not find the resource; nothing was changed. */
    REJECTED(4, "rejected or not found, nothing was changed"),
    /** The token was rejected. */
    UNAUTHORIZED(5, "the token was rejected"),
    /** No node handled the request; nothing was changed. */
    UNREACHABLE(6, "no node handled the request, nothing was changed"),
    /** The outcome is unknown; the change may have taken effect. */
    OUTCOME_UNKNOWN(7, "the outcome is unknown, the change may have taken effect"),
    /** A watched version move was rolled back. */
    ROLLED_BACK(8, "a watched version move was rolled back"),
    /** The drain is active on some nodes but not confirmed by the configuration group. */
    UNCONFIRMED(9, "the drain is active on some nodes but not confirmed"),
    /** An internal error occurred; the change may have taken effect. */
    INTERNAL(10, "internal error, the change may have taken effect");

    private final int number;
    private final String meaning;

    ExitCode(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the number, unique per code
     */
    public int number() {
        return number;
    }

    /**
     * Returns the description shown in the help.
     *
     * @return one phrase without a final full stop
     */
    public String meaning() {
        return meaning;
    }
}
