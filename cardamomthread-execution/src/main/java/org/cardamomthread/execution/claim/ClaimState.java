package org.cardamomthread.execution.claim;

/** State of a claimed key. */
enum ClaimState {
    /** Held by an attempt that may dispatch the call or has dispatched it. */
    CLAIMED,
    /** The call may have been executed. */
    UNKNOWN,
    /** The call completed, and its response is stored. */
    COMPLETED,
    /** The call completed; its response is no longer retained. */
    EXPIRED_COMPLETED,
    /** The call may have been executed; no response was ever recorded. */
    EXPIRED_UNKNOWN;

    boolean isExpired() {
        return this == EXPIRED_COMPLETED || this == EXPIRED_UNKNOWN;
    }
}
