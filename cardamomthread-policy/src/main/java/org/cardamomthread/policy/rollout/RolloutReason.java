package org.cardamomthread.policy.rollout;

/** Reasons for a rollout decision. The names are exchanged between nodes and shown to operators. */
public enum RolloutReason {
    /** The share is held because the duration of the step is not over. */
    STEP_TIME_NOT_OVER,
    /** The share is held because the step has not seen enough calls to the new version. */
    MORE_CALLS_NEEDED,
    /** The step is complete and the new version is not suspected of a fault. */
    STEP_PASSED,
    /**
     * The new version is suspected of a fault; its share on the route is raised briefly to confirm
     * or dismiss it.
     */
    SUSPICION,
    /** The last step and the bake time are complete. */
    BAKE_PASSED,
    /** The new version fails more often than the old one. */
    MORE_FAILURES,
    /** The new version exceeds the limit for the first token more often than the old one. */
    SLOWER_FIRST_TOKEN,
    /** The new version exceeds the limit for the gap between tokens more often than the old one. */
    LONGER_TOKEN_GAP,
    /** The deadline passed before all steps and the bake time were complete. */
    DEADLINE_REACHED,
    /** An operator rolled the new version back. */
    OPERATOR,
    /** The rollout had ended before; the decision that ended it states the reason. */
    ALREADY_ENDED
}
