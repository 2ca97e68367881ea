package org.cardamomthread.replication;

import org.cardamomthread.core.CardamomthreadException;

/** Indicates a storage failure after which the replica must stop. */
public class StorageException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the reason and the remedy
     */
    public StorageException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message the reason and the remedy
     * @param cause the failure that caused this exception
     */
    public StorageException(String message, Throwable cause) {
        super(message, cause);
    }
}
