package org.cardamomthread.replication.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;

/** Performs the file operations whose failure or interruption the storage must stand. */
interface FileAccess {

    /**
     * Writes a whole buffer at the end of a file.
     *
     * @param channel the file
     * @param buffer the bytes
     * @throws IOException if not all was written
     */
    void write(FileChannel channel, ByteBuffer buffer) throws IOException;

    /**
     * Makes a file's content durable.
     *
     * @param channel the file
     * @throws IOException if that failed
     */
    void force(FileChannel channel) throws IOException;

    /**
     * Renames a file, replacing the target at once.
     *
     * @param source the file
     * @param target its new name in the same folder
     * @throws IOException if that failed
     */
    void moveAtomically(Path source, Path target) throws IOException;

    /**
     * Makes the names in a folder durable.
     *
     * @param folder the folder
     * @throws IOException if that failed
     */
    void syncFolder(Path folder) throws IOException;

    /**
     * Deletes a file if it exists.
     *
     * @param file the file
     * @throws IOException if that failed
     */
    void delete(Path file) throws IOException;
}
