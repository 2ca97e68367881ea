package org.cardamomthread.execution;

/** Whether a request was executed, as reported to its caller. */
public enum ExecutionStatus {
    /** No endpoint received any part of the request, and none will receive it. */
    NOT_RUN("not-run"),
    /** An endpoint executed the request completely. */
    COMPLETED("completed"),
    /** An endpoint may have executed the request completely or partially. */
    UNKNOWN("unknown");

    private final String text;

    ExecutionStatus(String text) {
        this.text = text;
    }

    /**
     * Returns the value that is sent to callers in error responses.
     *
     * @return the value on the wire, such as {@code not-run}
     */
    public String text() {
        return text;
    }
}
