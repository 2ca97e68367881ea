package org.cardamomthread.policy.admission;

import java.util.Objects;

/**
 * Describes a request that waits in a {@link WaitingRoom}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param entry the entry by which accounts are served fairly; its id is unique in the room
 * @param level the priority level, 0 is the most urgent
 * @param receivedMs when the request was received, in monotonic milliseconds
 * @param objectiveMs latency objective, in milliseconds, at least zero
 * @param kindToleranceMs time for which requests of its kind may usually wait, in milliseconds; it
 *     bounds the wait of all requests of the account, so that it must not depend on the caller
 * @param bytes memory that the request occupies while it waits, in bytes, at least zero
 */
public record WaitingRequest(
        QueuedRequest entry,
        int level,
        long receivedMs,
        long objectiveMs,
        long kindToleranceMs,
        long bytes) {

    /** Validates the components. */
    public WaitingRequest {
        Objects.requireNonNull(entry, "entry must not be null");
        if (objectiveMs < 0 || bytes < 0) {
            throw new IllegalArgumentException(
                    "objectiveMs and bytes must be 0 or more, got "
                            + objectiveMs
                            + " and "
                            + bytes);
        }
    }

    /** Returns when half of the objective has passed, in monotonic milliseconds. */
    long agedAtMs() {
        return receivedMs + objectiveMs / 2;
    }
}
