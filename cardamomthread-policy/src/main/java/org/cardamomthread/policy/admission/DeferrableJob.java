package org.cardamomthread.policy.admission;

/**
 * Describes a deferrable job, which is held until an endpoint is cheap or its deadline requires a
 * start.
 *
 * <p>Immutable and thread-safe.
 *
 * @param acceptedAtMs time when the job was accepted, in milliseconds
 * @param deadlineMs time by which the job must be finished, in milliseconds, not before {@code
 *     acceptedAtMs}
 * @param expectedRunMs expected execution time at an average endpoint, in milliseconds, at least
 *     zero
 */
public record DeferrableJob(long acceptedAtMs, long deadlineMs, long expectedRunMs) {

    /** Validates the components. */
    public DeferrableJob {
        if (expectedRunMs < 0 || deadlineMs < acceptedAtMs) {
            throw new IllegalArgumentException(
                    "expectedRunMs must be 0 or more and deadlineMs not before acceptedAtMs, got "
                            + expectedRunMs
                            + ", "
                            + deadlineMs
                            + " and "
                            + acceptedAtMs);
        }
    }
}
