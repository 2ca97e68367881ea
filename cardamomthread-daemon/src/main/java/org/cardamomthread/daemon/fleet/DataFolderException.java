package org.cardamomthread.daemon.fleet;

import java.nio.file.Path;
import org.cardamomthread.replication.StorageException;

/** Thrown when the data folder of a control node cannot be used. */
final class DataFolderException extends StorageException {

    private static final long serialVersionUID = 1L;

    DataFolderException(Path folder, Exception cause) {
        super("data folder " + folder + " cannot be used (" + cause + "): make it writable", cause);
    }
}
