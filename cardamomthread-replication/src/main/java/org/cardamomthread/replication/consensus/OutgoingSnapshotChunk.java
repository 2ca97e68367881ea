package org.cardamomthread.replication.consensus;

/**
 * Requests that a part of the current snapshot is read from storage and sent. Immutable.
 *
 * @param message the message to send, complete except for the data
 * @param maxDataBytes the maximum number of bytes to read at the offset in the message
 */
public record OutgoingSnapshotChunk(OutgoingReplicaMessage message, int maxDataBytes) {}
