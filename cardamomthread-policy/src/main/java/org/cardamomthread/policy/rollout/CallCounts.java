package org.cardamomthread.policy.rollout;

/**
 * Holds the numbers of calls to one version by outcome.
 *
 * <p>Immutable and thread-safe. Calls to an endpoint that is still warming up count towards
 * failures but not towards latency, so that a slow start is not mistaken for a slow version.
 *
 * @param calls number of finished calls
 * @param failures number of calls whose failure is attributed to the version
 * @param timedCalls number of successful calls to warm endpoints, the only ones that count towards
 *     latency
 * @param slowFirstTokens number of timed calls whose first token exceeded the latency limit
 * @param slowTokenGaps number of timed calls whose gap between tokens exceeded the limit
 */
public record CallCounts(
        long calls, long failures, long timedCalls, long slowFirstTokens, long slowTokenGaps) {

    /** Counts without any calls. */
    public static final CallCounts NONE = new CallCounts(0, 0, 0, 0, 0);

    /**
     * Returns the sum of these counts and those of other calls.
     *
     * @param other counts of other calls
     * @return the sum
     */
    public CallCounts plus(CallCounts other) {
        return new CallCounts(
                calls + other.calls,
                failures + other.failures,
                timedCalls + other.timedCalls,
                slowFirstTokens + other.slowFirstTokens,
                slowTokenGaps + other.slowTokenGaps);
    }

    /**
     * Merges two states of the same monotonically growing counts.
     *
     * @param other another state of the same counts
     * @return higher value of each count
     */
    public CallCounts max(CallCounts other) {
        return new CallCounts(
                Math.max(calls, other.calls),
                Math.max(failures, other.failures),
                Math.max(timedCalls, other.timedCalls),
                Math.max(slowFirstTokens, other.slowFirstTokens),
                Math.max(slowTokenGaps, other.slowTokenGaps));
    }
}
