package org.cardamomthread.replication.storage;

import org.cardamomthread.replication.StorageException;

/** Reports that a data folder belongs to another node or group, or is in use. */
public final class StorageIdentityException extends StorageException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong and the remedy
     */
    public StorageIdentityException(String message) {
        super(message);
    }
}
