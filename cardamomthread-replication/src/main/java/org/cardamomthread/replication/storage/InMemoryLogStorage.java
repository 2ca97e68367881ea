package org.cardamomthread.replication.storage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.SnapshotHeader;
import org.cardamomthread.replication.generated.TermState;

/**
 * Stores a replica's data in memory and simulates the data loss of a host crash.
 *
 * <p>Invariant: unsynced writes are kept apart from durable data until {@link #sync()}. Used by
 * simulations and tests. Not thread-safe.
 */
public final class InMemoryLogStorage implements LogStorage {

    private final VoterId voterId;
    private final StorageFaultInjector faultInjector;
    private final List<Runnable> unsyncedWrites = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private TermState termState = TermState.getDefaultInstance();
    private SnapshotHeader snapshotHeader = SnapshotHeader.getDefaultInstance();
    private byte[] snapshotState = new byte[0];

    /**
     * Creates an empty storage.
     *
     * @param voterId the identity of the simulated data folder
     * @param faultInjector decides which steps fail
     */
    public InMemoryLogStorage(VoterId voterId, StorageFaultInjector faultInjector) {
        this.voterId = voterId;
        this.faultInjector = faultInjector;
    }

    /**
     * Discards a random suffix of the unsynced writes, like a crash of the host.
     *
     * @param random determines how many writes survive
     */
    public void simulateCrash(RandomGenerator random) {
        int survivingWrites = random.nextInt(unsyncedWrites.size() + 1);
        unsyncedWrites.subList(0, survivingWrites).forEach(Runnable::run);
        unsyncedWrites.clear();
    }

    @Override
    public RecoveredState open(GroupId groupId, NodeId nodeId) {
        unsyncedWrites.clear();
        return new RecoveredState(voterId, termState, snapshotHeader, entries);
    }

    @Override
    public void writeTermState(TermState newTermState) throws StorageException {
        faultInjector.beforeStep(StorageFaultInjector.Step.WRITE_TERM_STATE);
        unsyncedWrites.add(() -> termState = newTermState);
    }

    @Override
    public void append(List<Entry> newEntries) throws StorageException {
        faultInjector.beforeStep(StorageFaultInjector.Step.APPEND);
        for (Entry entry : newEntries) {
            unsyncedWrites.add(() -> storeEntry(entry));
        }
    }

    private void storeEntry(Entry entry) {
        if (entry.getIndex() <= snapshotHeader.getIndex()) {
            return;
        }
        int position = (int) (entry.getIndex() - snapshotHeader.getIndex() - 1);
        if (position > entries.size()) {
            throw new IllegalStateException(
                    "entry " + entry.getIndex() + " must directly follow the last entry");
        }
        entries.subList(position, entries.size()).clear();
        entries.add(entry);
    }

    @Override
    public void sync() throws StorageException {
        faultInjector.beforeStep(StorageFaultInjector.Step.SYNC);
        unsyncedWrites.forEach(Runnable::run);
        unsyncedWrites.clear();
        faultInjector.beforeStep(StorageFaultInjector.Step.AFTER_SYNC);
    }

    @Override
    public void saveSnapshot(SnapshotHeader newHeader, byte[] newState) throws StorageException {
        faultInjector.beforeStep(StorageFaultInjector.Step.REPLACE_SNAPSHOT);
        entries.removeIf(entry -> entry.getIndex() <= newHeader.getIndex());
        snapshotHeader = newHeader;
        snapshotState = newState;
        faultInjector.beforeStep(StorageFaultInjector.Step.AFTER_REPLACE_SNAPSHOT);
    }

    @Override
    public void installSnapshot(SnapshotHeader newHeader, byte[] newState) throws StorageException {
        sync();
        faultInjector.beforeStep(StorageFaultInjector.Step.REPLACE_SNAPSHOT);
        entries.clear();
        snapshotHeader = newHeader;
        snapshotState = newState;
        faultInjector.beforeStep(StorageFaultInjector.Step.AFTER_REPLACE_SNAPSHOT);
    }

    @Override
    public byte[] readSnapshot(long offset, int length) {
        int end = (int) Math.min(snapshotState.length, offset + length);
        return Arrays.copyOfRange(snapshotState, (int) offset, end);
    }

    @Override
    public void close() {
        unsyncedWrites.clear();
    }
}
