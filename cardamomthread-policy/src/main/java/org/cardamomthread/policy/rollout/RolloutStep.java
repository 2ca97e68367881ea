package org.cardamomthread.policy.rollout;

/**
 * Defines the traffic share of the new version during one step of a rollout, and the duration of
 * the step.
 *
 * <p>Immutable and thread-safe.
 *
 * @param share share of the calls for the new version, above 0 and below 1
 * @param timeShare weight of the step when the time before the bake is divided among the steps,
 *     above 0
 * @param leastCalls minimum number of calls to the new version in the step, at least zero
 */
public record RolloutStep(double share, double timeShare, int leastCalls) {

    /** Validates the components. */
    public RolloutStep {
        if (!(share > 0 && share < 1) || !(timeShare > 0) || leastCalls < 0) {
            throw new IllegalArgumentException(
                    "share must be between 0 and 1, timeShare greater than 0 and leastCalls 0"
                            + " or more, got "
                            + share
                            + ", "
                            + timeShare
                            + " and "
                            + leastCalls);
        }
    }
}
