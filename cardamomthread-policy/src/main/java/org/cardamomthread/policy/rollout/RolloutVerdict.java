package org.cardamomthread.policy.rollout;

import java.util.Objects;

/**
 * States what a move does next and why.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param state the state from now on
 * @param share share of the calls for the new version, 0 to 1
 * @param reason why
 * @param detail the reason in a sentence for operators
 */
public record RolloutVerdict(MoveState state, double share, RolloutReason reason, String detail) {

    /** Checks the parts. */
    public RolloutVerdict {
        Objects.requireNonNull(state, "state must be given");
        Objects.requireNonNull(reason, "reason must be given");
        Objects.requireNonNull(detail, "detail must be given");
    }
}
