package org.cardamomthread.replication.storage;

import org.cardamomthread.replication.StorageException;

/** Decides whether a step of an in-memory storage fails. */
@FunctionalInterface
public interface StorageFaultInjector {

    /** Names the steps. */
    enum Step {
        /** Before the term and vote are written. */
        WRITE_TERM_STATE,
        /** Before entries are written. */
        APPEND,
        /** Before writes become durable. */
        SYNC,
        /** After writes became durable. */
        AFTER_SYNC,
        /** Before a snapshot takes the place of the former one. */
        REPLACE_SNAPSHOT,
        /** After a snapshot has taken the place of the former one. */
        AFTER_REPLACE_SNAPSHOT
    }

    /**
     * Decides about a step.
     *
     * @param step the step about to be taken
     * @throws StorageException if the step fails
     */
    void beforeStep(Step step) throws StorageException;
}
