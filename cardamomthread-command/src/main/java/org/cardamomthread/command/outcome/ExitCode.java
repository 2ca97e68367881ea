package org.cardamomthread.command.outcome;

/** The exit codes of the command. Numbers never change their meaning. */
public enum ExitCode {
    /** The command has done what it was asked. */
    OK(0, "done"),
    /** Files hold errors; nothing was sent. */
    INVALID(1, "files hold errors, nothing was sent"),
    /** The command line is wrong; nothing was sent. */
    USAGE(2, "the command line is wrong, nothing was sent"),
    /** The configuration has changed since; nothing was changed. */
    CONFLICT(3, "the configuration has changed since, nothing was changed"),
    /** The system refuses the change or does not know the subject; nothing was changed. */
    REJECTED(4, "refused or not found, nothing was changed"),
    /** The token is not accepted. */
    UNAUTHORIZED(5, "the token is not accepted"),
    /** No node answers; nothing was changed. */
    UNREACHABLE(6, "no node answers, nothing was changed"),
    /** The change may or may not be in force. */
    OUTCOME_UNKNOWN(7, "the change may or may not be in force"),
    /** A watched version move was taken back. */
    TAKEN_BACK(8, "a watched version move was taken back"),
    /** The drain is in force on some nodes and not confirmed by the configuration group. */
    UNCONFIRMED(9, "the drain is in force in part and not confirmed"),
    /** The command itself has failed; the change may or may not be in force. */
    INTERNAL(10, "the command itself has failed, the change may or may not be in force");

    private final int number;
    private final String meaning;

    ExitCode(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    /**
     * Returns the number.
     *
     * @return the exit status of the process
     */
    public int number() {
        return number;
    }

    /**
     * Returns what the code means.
     *
     * @return a short text
     */
    public String meaning() {
        return meaning;
    }
}
