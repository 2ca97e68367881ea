package org.cardamomthread.replication.storage;

import org.cardamomthread.replication.StorageException;

/** Reports that data which had been synced reads differently now or is gone. */
public final class StorageCorruptedException extends StorageException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param place the file and position
     * @param finding what was found there
     */
    public StorageCorruptedException(String place, String finding) {
        super(
                place
                        + ": "
                        + finding
                        + "; check the disk, move the group's folder away and start the node"
                        + " again: it joins with a new identity and copies the log from the other"
                        + " voters");
    }
}
