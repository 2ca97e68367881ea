package org.cardamomthread.daemon.gateway;

/**
 * Records how one attempt went, for the comparison of versions and the state of the endpoint.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param isFailed whether the endpoint failed the attempt
 * @param isUnreached whether the connection failed, perhaps for a restart of the endpoint
 * @param isOverloaded whether the endpoint refused the attempt for its load
 * @param firstByteMs time to the first byte of the body in milliseconds, negative if none came
 * @param expectedFirstByteMs what that time was estimated to be, in milliseconds; zero if unknown
 * @param meanGapMs mean time between tokens in milliseconds, negative if fewer than two came
 * @param durationMs time from the start of the attempt to its end, in milliseconds
 * @param result a fixed name for metrics
 */
public record AttemptReport(
        boolean isFailed,
        boolean isUnreached,
        boolean isOverloaded,
        long firstByteMs,
        long expectedFirstByteMs,
        double meanGapMs,
        long durationMs,
        String result) {

    /** Shows an attempt that was given up for reasons outside the endpoint. */
    static final AttemptReport ABANDONED =
            new AttemptReport(false, false, false, -1, 0, -1, 0, "abandoned");

    /**
     * Tells whether the attempt says nothing about the endpoint.
     *
     * @return true if it was given up for reasons outside the endpoint
     */
    public boolean isAbandoned() {
        return result.equals(ABANDONED.result);
    }

    /** Returns the same report with the estimate made when the endpoint was chosen. */
    AttemptReport withExpectedFirstByteMs(long estimateMs) {
        return new AttemptReport(
                isFailed,
                isUnreached,
                isOverloaded,
                firstByteMs,
                estimateMs,
                meanGapMs,
                durationMs,
                result);
    }
}
