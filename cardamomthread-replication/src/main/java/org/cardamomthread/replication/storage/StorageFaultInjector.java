package org.cardamomthread.replication.storage;

import org.cardamomthread.replication.StorageException;

/** Injects failures into the steps of an {@link InMemoryLogStorage}. */
@FunctionalInterface
public interface StorageFaultInjector {

    /** The steps that can fail. */
    enum Step {
        /** Before the term and vote are written. */
        WRITE_TERM_STATE,
        /** Before entries are written. */
        APPEND,
        /** Before unsynced writes become durable. */
        SYNC,
        /** After unsynced writes became durable. */
        AFTER_SYNC,
        /** Before a snapshot replaces the previous one. */
        REPLACE_SNAPSHOT,
        /** After a snapshot has replaced the previous one. */
        AFTER_REPLACE_SNAPSHOT
    }

    /**
     * Called by the storage at each step; an exception makes the step fail.
     *
     * @param step the step that the storage has reached
     * @throws StorageException if the step must fail
     */
    void beforeStep(Step step) throws StorageException;
}
