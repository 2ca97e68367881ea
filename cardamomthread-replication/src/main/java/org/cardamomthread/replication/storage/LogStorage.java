package org.cardamomthread.replication.storage;

import java.util.List;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.SnapshotHeader;
import org.cardamomthread.replication.generated.TermState;

/**
 * Stores the log, the term and vote, and the snapshot of one replica.
 *
 * <p>Invariants: data written before a successful {@link #sync()} survives a crash; of the data
 * written after it, a prefix in write order survives. After an exception the storage rejects all
 * further writes until it is reopened. Not thread-safe.
 */
public interface LogStorage extends AutoCloseable {

    /**
     * Opens the storage and reads its content; creates a new identity in an empty storage.
     *
     * @param groupId the group that the storage must belong to
     * @param nodeId the node that the storage must belong to
     * @return the recovered content
     * @throws StorageException if it is corrupt, unreadable, in use or belongs to another node or
     *     group
     */
    RecoveredState open(GroupId groupId, NodeId nodeId) throws StorageException;

    /**
     * Writes the term and vote without syncing them.
     *
     * @param termState the term and vote to store
     * @throws StorageException if the write failed
     */
    void writeTermState(TermState termState) throws StorageException;

    /**
     * Appends entries without syncing them; stored entries from the first one's index on are
     * replaced.
     *
     * @param entries at least one entry, with consecutive indexes
     * @throws StorageException if the write failed
     */
    void append(List<Entry> entries) throws StorageException;

    /**
     * Forces all earlier writes to disk.
     *
     * @throws StorageException if the sync failed; the writes may or may not be durable
     */
    void sync() throws StorageException;

    /**
     * Replaces the snapshot with a newer one of the local state; entries up to its index may be
     * deleted.
     *
     * @param header the header, including the size and checksum of the state
     * @param state the serialized state of the state machine
     * @throws StorageException if saving failed; the previous or the new snapshot remains
     */
    void saveSnapshot(SnapshotHeader header, byte[] state) throws StorageException;

    /**
     * Replaces the snapshot and the whole log with a snapshot from the leader.
     *
     * @param header the header, including the size and checksum of the state
     * @param state the serialized state of the state machine
     * @throws StorageException if installing failed; either everything or nothing was replaced
     */
    void installSnapshot(SnapshotHeader header, byte[] state) throws StorageException;

    /**
     * Reads a part of the state in the current snapshot.
     *
     * @param offset the offset of the first byte in the state
     * @param length the maximum number of bytes to read
     * @return the bytes; fewer than requested at the end of the state
     * @throws StorageException if the snapshot could not be read
     */
    byte[] readSnapshot(long offset, int length) throws StorageException;

    /** Releases all resources without syncing. */
    @Override
    void close();
}
