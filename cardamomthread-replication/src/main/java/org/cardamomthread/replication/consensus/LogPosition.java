package org.cardamomthread.replication.consensus;

/**
 * Identifies a log entry. Immutable.
 *
 * @param index the index of the entry, starting at 1
 * @param term the term in which a leader appended the entry
 */
public record LogPosition(long index, long term) {}
