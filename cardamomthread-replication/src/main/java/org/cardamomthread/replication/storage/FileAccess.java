package org.cardamomthread.replication.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;

/**
 * Performs the file operations whose failure or interruption the storage must tolerate; tests
 * replace it.
 */
interface FileAccess {

    /**
     * Writes all remaining bytes of a buffer at the channel's position.
     *
     * @param channel the file to write to
     * @param buffer the bytes to write
     * @throws IOException if the write failed; a part of the bytes may have been written
     */
    void write(FileChannel channel, ByteBuffer buffer) throws IOException;

    /**
     * Forces the content of a file to disk.
     *
     * @param channel the file to sync
     * @throws IOException if the sync failed; the content may or may not be durable
     */
    void force(FileChannel channel) throws IOException;

    /**
     * Renames a file atomically, replacing an existing target.
     *
     * @param source the file to rename
     * @param target the new path in the same folder
     * @throws IOException if the file was not renamed
     */
    void moveAtomically(Path source, Path target) throws IOException;

    /**
     * Forces the directory entries of a folder to disk.
     *
     * @param folder the folder to sync
     * @throws IOException if the sync failed
     */
    void syncFolder(Path folder) throws IOException;

    /**
     * Deletes a file if it exists.
     *
     * @param file the file to delete
     * @throws IOException if the file exists and was not deleted
     */
    void delete(Path file) throws IOException;
}
