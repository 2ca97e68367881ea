package org.cardamomthread.replication;

/**
 * Holds the state that a replicated log builds up.
 *
 * <p>All methods must be deterministic: the same calls in the same order give the same state and
 * answers on each replica, whatever the time, host or random source. One operation may be applied
 * more than once under different indexes, because a proposer resends after an unknown outcome; an
 * implementation recognises it by an identifier in the command. Calls come from one thread at a
 * time, with a happens-before edge between them.
 */
public interface StateMachine {

    /**
     * Applies a committed command.
     *
     * @param index the position in the log, at least 1, rising with each call but with gaps
     * @param command the command as proposed; must not be modified
     * @return the answer for the proposer; never null
     */
    byte[] apply(long index, byte[] command);

    /**
     * Returns the whole state after the last applied command.
     *
     * @return the serialised state
     */
    byte[] snapshot();

    /**
     * Replaces the state by that of a snapshot.
     *
     * @param state what {@link #snapshot()} returned on some replica
     */
    void restore(byte[] state);
}
