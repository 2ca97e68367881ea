package org.cardamomthread.daemon.control;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Derives the number of voters of the traffic group from the losses that it must outlive.
 *
 * <p>A group outlives the loss of f data folders at once if 2f + 1 nodes vote: each acknowledged
 * command is on f + 1 of them, and f + 1 of them remain to elect a leader. Stateless.
 */
public final class VoterCounts {

    private static final Logger LOGGER = LoggerFactory.getLogger(VoterCounts.class);

    /** Three voters outlive the loss of one; fewer outlive none. */
    private static final int MIN_VOTERS = 3;

    /** Every voter gets every entry, and the leader's link and processor are small. */
    private static final int MAX_VOTERS = 7;

    private VoterCounts() {}

    /**
     * Returns how many nodes must vote.
     *
     * @param losses the control nodes that may be lost at once, with their disks
     * @return an odd number of voters, from 3 to 7
     */
    public static int forLosses(int losses) {
        if (losses < 0) {
            throw new IllegalArgumentException("losses " + losses + " must not be negative");
        }
        long required = 2L * losses + 1;
        if (required > MAX_VOTERS) {
            LOGGER.warn(
                    "the loss of {} control nodes needs {} voters; at most {} vote, which outlive"
                            + " the loss of {}",
                    losses,
                    required,
                    MAX_VOTERS,
                    MAX_VOTERS / 2);
        }
        return (int) Math.max(MIN_VOTERS, Math.min(MAX_VOTERS, required));
    }
}
