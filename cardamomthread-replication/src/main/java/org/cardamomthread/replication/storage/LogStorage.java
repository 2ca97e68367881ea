package org.cardamomthread.replication.storage;

import java.util.List;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.SnapshotHeader;
import org.cardamomthread.replication.generated.TermState;

/**
 * Keeps the log, the term and the snapshots of one replica.
 *
 * <p>Invariants: what was written before a {@link #sync()} that returned normally survives a crash;
 * of what was written after it, a prefix in order of writing survives. After any exception the
 * storage refuses all further writes until it is opened anew. Used by one thread at a time.
 */
public interface LogStorage extends AutoCloseable {

    /**
     * Opens the storage; gives it a new identity if it holds none.
     *
     * @param groupId the group that the storage must belong to
     * @param nodeId the node that the storage must belong to
     * @return what it contains
     * @throws StorageException if it is damaged, unreadable, in use or belongs to another
     */
    RecoveredState open(GroupId groupId, NodeId nodeId) throws StorageException;

    /**
     * Writes the term and vote, not yet synced.
     *
     * @param termState the term and vote
     * @throws StorageException if the write failed
     */
    void writeTermState(TermState termState) throws StorageException;

    /**
     * Appends entries, not yet synced; entries at or after the first one's index are replaced.
     *
     * @param entries entries with consecutive indexes
     * @throws StorageException if the write failed
     */
    void append(List<Entry> entries) throws StorageException;

    /**
     * Makes all earlier writes durable.
     *
     * @throws StorageException if that failed; the writes may or may not be durable
     */
    void sync() throws StorageException;

    /**
     * Replaces the snapshot by one of the applied state; entries up to its index may be dropped.
     *
     * @param header the header, with the state's size and checksum
     * @param state the state
     * @throws StorageException if that failed; the former snapshot is still there then
     */
    void saveSnapshot(SnapshotHeader header, byte[] state) throws StorageException;

    /**
     * Replaces the snapshot and the whole log by a snapshot from the leader.
     *
     * @param header the header, with the state's size and checksum
     * @param state the state
     * @throws StorageException if that failed; either all or nothing was replaced
     */
    void installSnapshot(SnapshotHeader header, byte[] state) throws StorageException;

    /**
     * Reads a part of the current snapshot's state.
     *
     * @param offset the first byte, counted from 0
     * @param length the most bytes to read
     * @return the bytes, fewer at the end
     * @throws StorageException if that failed
     */
    byte[] readSnapshot(long offset, int length) throws StorageException;

    /** Releases the files; does not sync. */
    @Override
    void close();
}
