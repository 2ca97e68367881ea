package org.cardamomthread.policy.admission;

import java.util.Objects;

/**
 * States why a request was not kept. It has not been run.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param request the request
 * @param reason the typed reason
 * @param retryAfterMs time after which a new try is sensible, in milliseconds
 */
public record AdmissionRefusal(QueuedRequest request, Reason reason, long retryAfterMs) {

    /** Names the reasons. Immutable. */
    public enum Reason {
        /** The queue is full and the account has its share of it. */
        QUEUE_FULL,
        /** The request gave way to one of an account with less than its share, or more urgent. */
        DISPLACED,
        /** The request would not start in time. */
        TOO_LATE
    }

    /** Checks the parts. */
    public AdmissionRefusal {
        Objects.requireNonNull(request, "request must be given");
        Objects.requireNonNull(reason, "reason must be given");
    }
}
