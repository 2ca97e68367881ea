package org.cardamomthread.policy.rollout;

/** Decides on the next action of a rollout. */
public interface RolloutDecider {

    /**
     * Decides on the next action based on the evidence collected so far.
     *
     * @param plan plan of the rollout
     * @param state current progress of the rollout
     * @param evidence evidence collected by all nodes so far
     * @param nowMs current time on the clock of the plan, in milliseconds
     * @return decision with the next state, the traffic share of the new version and the reason
     */
    RolloutDecision decide(
            RolloutPlan plan, RolloutState state, RolloutEvidence evidence, long nowMs);
}
