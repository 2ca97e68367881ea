package org.cardamomthread.replication.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.cardamomthread.replication.generated.SnapshotFileHeader;

/**
 * Reads and writes the snapshot files of one folder.
 *
 * <p>Invariant: a file with the final name of a snapshot is complete and durable. Not thread-safe.
 */
final class SnapshotStore {

    private static final String FILE_NAME_PREFIX = "snapshot-";
    private static final String TEMPORARY_FILE_NAME = "temporary-snapshot";

    private final Path folder;
    private final FileAccess fileAccess;

    SnapshotStore(Path folder, FileAccess fileAccess) {
        this.folder = folder;
        this.fileAccess = fileAccess;
    }

    Path snapshotFile(long index) {
        return folder.resolve(String.format(Locale.ROOT, "%s%020d", FILE_NAME_PREFIX, index));
    }

    void write(SnapshotFileHeader fileHeader, byte[] state) throws IOException {
        Path temporary = folder.resolve(TEMPORARY_FILE_NAME);
        fileAccess.delete(temporary);
        try (FileChannel channel =
                FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            fileAccess.write(
                    channel, ByteBuffer.wrap(RecordFrame.encode(fileHeader.toByteArray())));
            fileAccess.write(channel, ByteBuffer.wrap(state));
            fileAccess.force(channel);
        }
        fileAccess.moveAtomically(temporary, snapshotFile(fileHeader.getHeader().getIndex()));
        fileAccess.syncFolder(folder);
    }

    void deleteBefore(long index) throws IOException {
        for (Path file : listFiles()) {
            if (file.compareTo(snapshotFile(index)) < 0) {
                fileAccess.delete(file);
            }
        }
    }

    /**
     * Reads and verifies the newest snapshot.
     *
     * @return the header of the snapshot, or empty without a snapshot
     * @throws IOException if the file is unreadable
     * @throws StorageCorruptedException if the size or a checksum does not match
     */
    Optional<SnapshotFileHeader> readNewest() throws IOException, StorageCorruptedException {
        fileAccess.delete(folder.resolve(TEMPORARY_FILE_NAME));
        Optional<Path> newest = listFiles().stream().max(Comparator.naturalOrder());
        if (newest.isEmpty()) {
            return Optional.empty();
        }
        Path file = newest.get();
        byte[] content = Files.readAllBytes(file);
        if (RecordFrame.checkRecord(content, 0) != RecordFrame.RecordStatus.VALID) {
            throw new StorageCorruptedException(
                    file.toString(), "the header of the snapshot is corrupt");
        }
        SnapshotFileHeader fileHeader = parseHeader(file, content);
        int start = stateOffset(content);
        int size = content.length - start;
        if (size != fileHeader.getHeader().getSizeBytes()
                || Checksums.crc32c(content, start, size) != fileHeader.getHeader().getChecksum()) {
            throw new StorageCorruptedException(
                    file.toString(), "the state of the snapshot is corrupt");
        }
        return Optional.of(fileHeader);
    }

    byte[] read(SnapshotFileHeader fileHeader, long offset, int length) throws IOException {
        Path file = snapshotFile(fileHeader.getHeader().getIndex());
        long size = fileHeader.getHeader().getSizeBytes();
        long start = RecordFrame.HEADER_BYTES + fileHeader.getSerializedSize() + offset;
        int count = (int) Math.max(0, Math.min(length, size - offset));
        ByteBuffer buffer = ByteBuffer.allocate(count);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            while (buffer.hasRemaining() && channel.read(buffer, start + buffer.position()) >= 0) {
                continue;
            }
        }
        if (buffer.hasRemaining()) {
            throw new IOException(file + " is truncated: it ends before byte " + (start + count));
        }
        return buffer.array();
    }

    private static int stateOffset(byte[] content) {
        return RecordFrame.HEADER_BYTES + RecordFrame.payloadLength(content, 0);
    }

    private static SnapshotFileHeader parseHeader(Path file, byte[] content)
            throws StorageCorruptedException {
        try {
            int length = RecordFrame.payloadLength(content, 0);
            return SnapshotFileHeader.parseFrom(
                    ByteBuffer.wrap(content, RecordFrame.HEADER_BYTES, length));
        } catch (InvalidProtocolBufferException e) {
            throw new StorageCorruptedException(
                    file.toString(), "the header of the snapshot cannot be parsed");
        }
    }

    private List<Path> listFiles() throws IOException {
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> stream =
                Files.newDirectoryStream(folder, FILE_NAME_PREFIX + "*")) {
            stream.forEach(files::add);
        }
        return files;
    }
}
