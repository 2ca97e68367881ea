package org.cardamomthread.policy.rollout;

/**
 * Describes how one call ended, for the comparison of versions. Calls that were ended by a host
 * reclaim or by the caller must not be recorded, as they say nothing about the version.
 *
 * <p>Immutable and thread-safe.
 *
 * @param failed whether the call failed for a reason attributed to the version
 * @param warm whether the endpoint was warm or its warm-up time was over
 * @param slowFirstToken whether the first token exceeded the latency limit of the rollout
 * @param slowTokenGap whether a gap between tokens exceeded the limit of the rollout
 */
public record CallObservation(
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
