package org.cardamomthread.policy.rollout;

/**
 * Counts the outcomes of calls to one version.
 *
 * <p>Immutable and safe for use by several threads. Calls on an endpoint that is still warming up
 * count for failures only, so that a slow start is not mistaken for a slow version.
 *
 * @param calls finished calls
 * @param failures calls that failed by the fault of the version
 * @param timedCalls calls on warm endpoints that count for times
 * @param slowFirstTokens timed calls whose first token came after the limit
 * @param slowTokenGaps timed calls whose gap between tokens was above the limit
 */
public record CallCounts(
        long calls, long failures, long timedCalls, long slowFirstTokens, long slowTokenGaps) {

    /** No calls. */
    public static final CallCounts NONE = new CallCounts(0, 0, 0, 0, 0);

    /**
     * Adds the counts of other calls.
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
     * Joins two states of the same growing counts.
     *
     * @param other another state of the same counts
     * @return the later state
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
