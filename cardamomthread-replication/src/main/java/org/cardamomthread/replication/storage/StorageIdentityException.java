package org.cardamomthread.replication.storage;

import org.cardamomthread.replication.StorageException;

/** Indicates that a data folder belongs to another node or group, or is in use. */
public final class StorageIdentityException extends StorageException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the reason and the remedy
     */
    public StorageIdentityException(String message) {
        super(message);
    }
}
