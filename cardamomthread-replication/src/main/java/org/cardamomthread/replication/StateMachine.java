package org.cardamomthread.replication;

/**
 * Applies the committed commands of a replicated log to an application state.
 *
 * <p>All methods must be deterministic: the same calls in the same order must produce the same
 * state and results on every replica, independent of time, host and random values. An operation may
 * be applied more than once at different indexes, because clients retry after an unknown outcome;
 * an implementation must detect duplicates by an identifier in the command. Methods are called by
 * one thread at a time, with a happens-before relation between calls.
 */
public interface StateMachine {

    /**
     * Applies a committed command.
     *
     * @param index the index of the log entry, at least 1; it increases with each call but may skip
     *     values
     * @param command the command as proposed, which must not be modified
     * @return the result for the proposer; never null
     */
    byte[] apply(long index, byte[] command);

    /**
     * Returns the complete state after the last applied command.
     *
     * @return the serialized state
     */
    byte[] snapshot();

    /**
     * Replaces the state with a snapshot.
     *
     * @param state the serialized state that {@link #snapshot()} returned on any replica
     */
    void restore(byte[] state);
}
