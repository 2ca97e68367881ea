package org.cardamomthread.daemon.gateway;

/** Names how a caller's request ended, for metrics and logs. Immutable. */
enum CallOutcome {
    /** The caller was sent a whole answer of an endpoint. */
    ANSWERED("answered"),
    /** The caller was told that the call was not run. */
    REFUSED("refused"),
    /** The caller was told of a failure, or saw a truncated stream. */
    FAILED("failed"),
    /** The caller closed the connection first. */
    CANCELLED("cancelled");

    private final String label;

    CallOutcome(String label) {
        this.label = label;
    }

    String getLabel() {
        return label;
    }
}
