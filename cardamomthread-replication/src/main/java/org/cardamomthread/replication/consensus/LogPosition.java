package org.cardamomthread.replication.consensus;

/**
 * Names an entry. Immutable.
 *
 * @param index its index
 * @param term its term
 */
public record LogPosition(long index, long term) {}
