package org.cardamomthread.daemon.operator;

/**
 * States how long the operators' API waits for the configuration group.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param changeMs longest wait for the answer to a change
 * @param drainMs longest wait before a drain is passed on to the nodes in reach
 */
public record ProposalTimeouts(long changeMs, long drainMs) {

    /** Answers a change before the command's own timeout, and a drain within a lease. */
    public static final ProposalTimeouts DEFAULT = new ProposalTimeouts(5_000, 2_000);

    /** Checks the arguments. */
    public ProposalTimeouts {
        if (changeMs < 1 || drainMs < 1) {
            throw new IllegalArgumentException(
                    "changeMs " + changeMs + " and drainMs " + drainMs + " must be positive");
        }
    }
}
