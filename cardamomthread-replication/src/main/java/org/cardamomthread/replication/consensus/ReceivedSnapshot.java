package org.cardamomthread.replication.consensus;

import com.google.protobuf.ByteString;
import org.cardamomthread.replication.generated.SnapshotHeader;

/**
 * Holds a whole snapshot from the leader. Immutable.
 *
 * @param header its header
 * @param state the state, with the header's checksum
 */
public record ReceivedSnapshot(SnapshotHeader header, ByteString state) {}
