package org.cardamomthread.daemon.gateway;

/**
 * Describes the result and timing of one attempt. Used to compare versions and to assess the
 * endpoint.
 *
 * <p>Immutable and thread-safe.
 *
 * @param isFailed whether the attempt failed
 * @param isConnectionFailed whether the endpoint could not be reached or the connection was lost,
 *     as happens when an endpoint restarts
 * @param isOverloaded whether the endpoint rejected the attempt because of its load
 * @param firstByteMs time to the first token, or to the response head of calls without tokens, in
 *     milliseconds; negative if there was none
 * @param expectedFirstByteMs the estimate of that time when the endpoint was selected, in
 *     milliseconds; zero if unknown
 * @param meanTokenGapMs mean time between tokens in milliseconds; negative if there were fewer than
 *     two
 * @param durationMs time from the start of the attempt to its end, in milliseconds
 * @param result the result as a metric label: {@code complete}, {@code abandoned} or a kind of
 *     failure in lower case
 */
public record AttemptReport(
        boolean isFailed,
        boolean isConnectionFailed,
        boolean isOverloaded,
        long firstByteMs,
        long expectedFirstByteMs,
        double meanTokenGapMs,
        long durationMs,
        String result) {

    /** The report of an attempt that was abandoned for reasons unrelated to the endpoint. */
    static final AttemptReport ABANDONED =
            new AttemptReport(false, false, false, -1, 0, -1, 0, "abandoned");

    /**
     * Returns whether the attempt is to be ignored when the endpoint is assessed.
     *
     * @return true if it was abandoned for reasons unrelated to the endpoint
     */
    public boolean isAbandoned() {
        return result.equals(ABANDONED.result);
    }

    /** Returns a copy with the estimate that was made when the endpoint was selected. */
    AttemptReport withExpectedFirstByteMs(long estimateMs) {
        return new AttemptReport(
                isFailed,
                isConnectionFailed,
                isOverloaded,
                firstByteMs,
                estimateMs,
                meanTokenGapMs,
                durationMs,
                result);
    }
}
