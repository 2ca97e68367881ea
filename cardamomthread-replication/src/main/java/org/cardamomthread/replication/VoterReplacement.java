package org.cardamomthread.replication;

/**
 * States when nodes that do not belong to the first voters of a group become voters. Immutable.
 *
 * @param voterCount the number of voters that the leader restores; a node joins only while fewer
 *     members than that respond
 * @param absenceMs the time without a response after which a member counts as gone, by the clock of
 *     the leader
 */
public record VoterReplacement(int voterCount, long absenceMs) {

    /** Validates the values. */
    public VoterReplacement {
        if (voterCount <= 0) {
            throw new IllegalArgumentException("voterCount " + voterCount + " must be positive");
        }
        if (absenceMs <= 0) {
            throw new IllegalArgumentException("absenceMs " + absenceMs + " must be positive");
        }
    }
}
