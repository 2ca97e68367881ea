package org.cardamomthread.replication.storage;

import org.cardamomthread.replication.StorageException;

/** Indicates that data that had been synced has changed or is missing. */
public final class StorageCorruptedException extends StorageException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param location the file, and the position in it if known
     * @param problem what is wrong at the location
     */
    public StorageCorruptedException(String location, String problem) {
        super(
                location
                        + ": "
                        + problem
                        + "; check the disk, move the group's folder away and start the node"
                        + " again: it joins with a new identity and copies the log from the other"
                        + " voters");
    }
}
