package org.cardamomthread.daemon.operator;

/**
 * The maximum times that the operator API waits for the configuration group.
 *
 * <p>Immutable and thread-safe.
 *
 * @param changeMs milliseconds to wait for the result of a change
 * @param drainMs milliseconds to wait for the result of a drain before it is distributed by gossip
 */
public record ProposalTimeouts(long changeMs, long drainMs) {

    /** Responds to a change before the proposal itself times out, and to a drain within a lease. */
    public static final ProposalTimeouts DEFAULT = new ProposalTimeouts(5_000, 2_000);

    /** Checks that both timeouts are positive. */
    public ProposalTimeouts {
        if (changeMs < 1 || drainMs < 1) {
            throw new IllegalArgumentException(
                    "changeMs "
                            + changeMs
                            + " and drainMs "
                            + drainMs
                            + " must both be at least 1");
        }
    }
}
