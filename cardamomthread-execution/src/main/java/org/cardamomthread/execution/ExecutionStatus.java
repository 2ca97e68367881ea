package org.cardamomthread.execution;

/** States what a refusal tells the caller about the fate of its request. */
public enum ExecutionStatus {
    /** No endpoint received any part of the request, and none will. */
    NOT_RUN("not-run"),
    /** An endpoint ran the request to its end. */
    COMPLETED("completed"),
    /** An endpoint may have run the request, wholly or in part. */
    UNKNOWN("unknown");

    private final String text;

    ExecutionStatus(String text) {
        this.text = text;
    }

    /**
     * Returns the form used in refusals.
     *
     * @return the text
     */
    public String text() {
        return text;
    }
}
