package org.cardamomthread.replication.consensus;

/**
 * Asks the driver to read a part of the snapshot and to send it.
 *
 * @param message the message, complete but for the data
 * @param length the most bytes to read from the offset in the message
 */
public record OutgoingSnapshotChunk(OutgoingMessage message, int maxDataBytes) {}
