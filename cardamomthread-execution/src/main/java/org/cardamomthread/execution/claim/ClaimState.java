package org.cardamomthread.execution.claim;

/** States how far a claimed call has come. */
enum ClaimState {
    /** The holder may dispatch it, or has. */
    CLAIMED,
    /** It may have run. */
    UNKNOWN,
    /** Its answer is stored. */
    COMPLETED,
    /** It had completed; the answer is no longer stored. */
    EXPIRED_COMPLETED,
    /** It may have run, long ago. */
    EXPIRED_UNKNOWN;

    boolean isExpired() {
        return this == EXPIRED_COMPLETED || this == EXPIRED_UNKNOWN;
    }
}
