package org.cardamomthread.policy.rollout;

/**
 * Defines the traffic share of the new version during one step of a rollout, and the duration of
 * the step.
 *
 * <p>Immutable and thread-safe.
 *
 * @param share share of the calls for the new version, above 0 and below 1
 * @param timeWeight weight of the step when the time before the bake is divided among the steps,
 *     above 0
 * @param minCalls minimum number of calls to the new version in the step, at least zero
 */
public record RolloutStep(double share, double timeWeight, int minCalls) {

    /** Validates the components. */
    public RolloutStep {
        if (!(share > 0 && share < 1) || !(timeWeight > 0) || minCalls < 0) {
            throw new IllegalArgumentException(
                    "share must be between 0 and 1, timeWeight greater than 0 and minCalls 0"
                            + " or more, got "
                            + share
                            + ", "
                            + timeWeight
                            + " and "
                            + minCalls);
        }
    }
}
