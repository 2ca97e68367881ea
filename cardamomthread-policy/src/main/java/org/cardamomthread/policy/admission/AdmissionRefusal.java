package org.cardamomthread.policy.admission;

import java.util.Objects;

/**
 * States why a waiting request was refused. It has not been executed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param reason reason of the refusal
 * @param retryAfterMs recommended delay before the next attempt, in milliseconds
 */
public record AdmissionRefusal(QueuedRequest request, Reason reason, long retryAfterMs) {

    /** Reasons why a request is refused. */
    public enum Reason {
        /** The queue is full and the account already uses its share of it. */
        QUEUE_FULL,
        /**
         * The request was evicted from the queue for a more urgent request or for one of an account
         * below its share.
         */
        DISPLACED,
        /** The request can no longer start in time. */
        TOO_LATE
    }

    /** Validates the components. */
    public AdmissionRefusal {
        Objects.requireNonNull(request, "request must not be null");
        Objects.requireNonNull(reason, "reason must not be null");
    }
}
