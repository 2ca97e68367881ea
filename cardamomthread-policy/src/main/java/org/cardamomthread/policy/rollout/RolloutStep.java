package org.cardamomthread.policy.rollout;

/**
 * States one share of the traffic and how long it is held.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param share share of the calls for the new version, above 0 and below 1
 * @param timeShare share of the time before the bake that the step takes, above 0
 * @param leastCalls calls to the new version that the step has to see
 */
public record RolloutStep(double share, double timeShare, int leastCalls) {

    /** Checks the ranges. */
    public RolloutStep {
        if (!(share > 0 && share < 1) || !(timeShare > 0) || leastCalls < 0) {
            throw new IllegalArgumentException(
                    "share must lie between 0 and 1, timeShare be above 0 and leastCalls 0 or more,"
                            + " got "
                            + share
                            + ", "
                            + timeShare
                            + " and "
                            + leastCalls);
        }
    }
}
