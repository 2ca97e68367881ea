package org.cardamomthread.daemon.http;

/** States what became of a call that is answered with a problem document. Immutable. */
public enum ExecutionState {
    /** No byte of the call reached an endpoint, and none will. */
    NOT_RUN("not-run"),
    /** The call ran to its end. */
    COMPLETED("completed"),
    /** The call may have run, in part or whole. */
    UNKNOWN("unknown");

    private final String text;

    ExecutionState(String text) {
        this.text = text;
    }

    /**
     * Returns the form used in problem documents.
     *
     * @return the text form
     */
    public String getText() {
        return text;
    }
}
