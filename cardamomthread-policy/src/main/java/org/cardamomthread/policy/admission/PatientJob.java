package org.cardamomthread.policy.admission;

/**
 * Describes patient work that is held for a cheap place and time.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param acceptedAtMs when it was accepted, in milliseconds
 * @param deadlineMs by when it must be finished, in milliseconds
 * @param expectedRunMs time that it needs at an ordinary endpoint, in milliseconds, at least zero
 */
public record PatientJob(long acceptedAtMs, long deadlineMs, long expectedRunMs) {

    /** Checks the ranges. */
    public PatientJob {
        if (expectedRunMs < 0 || deadlineMs < acceptedAtMs) {
            throw new IllegalArgumentException(
                    "expectedRunMs must not be negative nor deadlineMs before acceptedAtMs, got "
                            + expectedRunMs
                            + ", "
                            + deadlineMs
                            + " and "
                            + acceptedAtMs);
        }
    }
}
