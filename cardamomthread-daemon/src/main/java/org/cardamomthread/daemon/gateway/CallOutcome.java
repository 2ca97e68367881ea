package org.cardamomthread.daemon.gateway;

/** States how a caller's request ended. Used in metrics and logs. Immutable. */
enum CallOutcome {
    /** The caller received a complete response of an endpoint. */
    ANSWERED("answered"),
    /** The caller was informed that the call was not run. */
    REFUSED("refused"),
    /** The caller received an error or a truncated stream; the call may have run. */
    FAILED("failed"),
    /** The caller closed the connection before the response was complete. */
    CANCELLED("cancelled");

    private final String label;

    CallOutcome(String label) {
        this.label = label;
    }

    String getLabel() {
        return label;
    }
}
