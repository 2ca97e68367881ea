package org.cardamomthread.replication.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

/**
 * Fails one operation; a failing write still writes half of its data. For {@link Operation#ANY} all
 * later operations fail too, as after a crash; otherwise they succeed.
 */
final class FaultyFileAccess implements FileAccess {

    private final FileAccess delegate = new DefaultFileAccess();
    private final Operation failingOperation;
    private final Set<Path> syncedFolders = new HashSet<>();
    private int remainingOperations;

    /** The kinds of operations that can fail. */
    enum Operation {
        ANY,
        WRITE,
        FORCE
    }

    FaultyFileAccess(Operation failing, int successfulOperations) {
        this.failingOperation = failing;
        this.remainingOperations = successfulOperations;
    }

    boolean hasFailed() {
        return remainingOperations < 0;
    }

    Set<Path> syncedFolders() {
        return syncedFolders;
    }

    private boolean shouldFail(Operation operation) throws IOException {
        if (hasFailed() && failingOperation == Operation.ANY) {
            throw new IOException("simulated crash: no operation after the failed one");
        }
        return (failingOperation == Operation.ANY || failingOperation == operation)
                && remainingOperations-- == 0;
    }

    private void failIfDue(Operation operation, String message) throws IOException {
        if (shouldFail(operation)) {
            throw new IOException(message);
        }
    }

    @Override
    public void write(FileChannel channel, ByteBuffer buffer) throws IOException {
        if (shouldFail(Operation.WRITE)) {
            buffer.limit(buffer.limit() / 2);
            delegate.write(channel, buffer);
            throw new IOException("No space left on device");
        }
        delegate.write(channel, buffer);
    }

    @Override
    public void force(FileChannel channel) throws IOException {
        failIfDue(Operation.FORCE, "Input/output error");
        delegate.force(channel);
    }

    @Override
    public void moveAtomically(Path source, Path target) throws IOException {
        failIfDue(Operation.ANY, "simulated crash");
        delegate.moveAtomically(source, target);
    }

    @Override
    public void syncFolder(Path folder) throws IOException {
        failIfDue(Operation.ANY, "simulated crash");
        delegate.syncFolder(folder);
        syncedFolders.add(folder);
    }

    @Override
    public void delete(Path file) throws IOException {
        failIfDue(Operation.ANY, "simulated crash");
        delegate.delete(file);
    }
}
