package org.cardamomthread.policy.rollout;

/** Decides what a version move does next. */
public interface RolloutDecider {

    /**
     * Decides from what is known at present.
     *
     * @param plan the move
     * @param state how far it has come
     * @param evidence the calls compared so far
     * @param nowMs time on the clock of the plan, in milliseconds
     * @return the next state, the share and the reason
     */
    RolloutVerdict decide(RolloutPlan plan, MoveState state, MoveEvidence evidence, long nowMs);
}
