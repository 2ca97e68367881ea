package org.cardamomthread.policy.rollout;

/**
 * Describes how one call ended, for the comparison of versions. A call that ended by a reclaim or
 * by the caller must not be reported.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param failed true if the call failed by the fault of the version
 * @param warm true if the endpoint had warmed up, or had been given its warm-up time
 * @param slowFirstToken true if the first token came after the limit of the move
 * @param slowTokenGap true if the gap between tokens was above the limit of the move
 */
public record CallOutcome(
        boolean failed, boolean warm, boolean slowFirstToken, boolean slowTokenGap) {

    CallCounts counts() {
        boolean timed = warm && !failed;
        return new CallCounts(
                1,
                failed ? 1 : 0,
                timed ? 1 : 0,
                timed && slowFirstToken ? 1 : 0,
                timed && slowTokenGap ? 1 : 0);
    }
}
