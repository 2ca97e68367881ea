package org.cardamomthread.replication.consensus;

import com.google.protobuf.ByteString;
import org.cardamomthread.replication.generated.SnapshotHeader;

/**
 * Holds a complete snapshot received from the leader. Immutable.
 *
 * @param header the index, term, membership, size and checksum of the snapshot
 * @param state the serialized state; it matches the checksum in the header
 */
public record ReceivedSnapshot(SnapshotHeader header, ByteString state) {}
