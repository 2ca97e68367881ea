package org.cardamomthread.replication.storage;

import java.nio.file.Path;
import org.cardamomthread.replication.StorageException;

/**
 * Thrown when another process uses the folder of a log. Passes by itself when that process ends, so
 * that opening the storage may be tried again.
 */
public final class StorageLockedException extends StorageException {

    private static final long serialVersionUID = 1L;

    StorageLockedException(Path folder) {
        super(folder + " is in use by another process; stop that process first");
    }
}
