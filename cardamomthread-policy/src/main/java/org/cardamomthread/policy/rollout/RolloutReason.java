package org.cardamomthread.policy.rollout;

/** Names why a move stands where it does. Immutable. */
public enum RolloutReason {
    /** The share is held for its time. */
    STEP_TIME_NOT_OVER,
    /** The share is held until enough calls have been compared. */
    MORE_CALLS_NEEDED,
    /** The step is over and nothing speaks against the new version. */
    STEP_PASSED,
    /** Something speaks against the new version; some calls are spent to decide quickly. */
    SUSPICION,
    /** The last share was held for the bake time. */
    BAKE_PASSED,
    /** The new version fails more often than the old one. */
    MORE_FAILURES,
    /** The new version's first token comes late more often than the old one's. */
    SLOWER_FIRST_TOKEN,
    /** The new version's gap between tokens is long more often than the old one's. */
    LONGER_TOKEN_GAP,
    /** The deadline came before the steps and the bake time were over. */
    DEADLINE_REACHED,
    /** An operator took the new version back. */
    OPERATOR,
    /** The move ended before; the verdict that ended it carries the reason. */
    ALREADY_ENDED
}
