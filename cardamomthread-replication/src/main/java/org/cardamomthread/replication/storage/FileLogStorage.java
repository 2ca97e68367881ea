package org.cardamomthread.replication.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.stream.Stream;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.LogRecord;
import org.cardamomthread.replication.generated.SnapshotFileHeader;
import org.cardamomthread.replication.generated.SnapshotHeader;
import org.cardamomthread.replication.generated.TermState;

/**
 * Stores a replica's data in one folder: an identity file, log segments and one snapshot.
 *
 * <p>Invariants: every segment starts with the term state, so that earlier segments can be deleted;
 * all segments except the last one are synced; after a failed operation all further writes fail
 * until the storage is opened again. Not thread-safe.
 */
public final class FileLogStorage implements LogStorage {

    private static final long DEFAULT_MAX_SEGMENT_BYTES = 2L * 1024 * 1024;
    private static final String LOCK_FILE_NAME = "lock";
    private static final String TEMPORARY_SEGMENT_FILE_NAME = "temporary-segment";

    private final Path folder;
    private final FileAccess fileAccess;
    private final long maxSegmentBytes;
    private final SnapshotStore snapshotStore;
    private final FolderIdentityFile identityFile;
    private final Deque<Segment> segments = new ArrayDeque<>();
    private SnapshotFileHeader snapshotFileHeader = SnapshotFileHeader.getDefaultInstance();
    private TermState termState = TermState.getDefaultInstance();
    private FileChannel lockChannel;
    private FileChannel segmentChannel;
    private boolean failed;

    /**
     * Creates a storage; {@link #open} creates or reads the folder.
     *
     * @param folder the folder, which belongs to one group only; created if it does not exist
     */
    public FileLogStorage(Path folder) {
        this(folder, new DefaultFileAccess(), DEFAULT_MAX_SEGMENT_BYTES);
    }

    FileLogStorage(Path folder, FileAccess fileAccess, long maxSegmentBytes) {
        this.folder = folder;
        this.fileAccess = fileAccess;
        this.maxSegmentBytes = maxSegmentBytes;
        this.snapshotStore = new SnapshotStore(folder, fileAccess);
        this.identityFile = new FolderIdentityFile(folder, fileAccess);
    }

    @Override
    public RecoveredState open(GroupId groupId, NodeId nodeId) throws StorageException {
        boolean isReopened = failed;
        reset();
        try {
            createFolder(folder.toAbsolutePath());
            acquireLock();
            VoterId voterId = readOrCreateIdentity(groupId, nodeId);
            snapshotFileHeader = snapshotStore.readNewest().orElse(snapshotFileHeader);
            List<Entry> entries = readSegments();
            if (isReopened) {
                rewriteLastSegment();
            }
            openLastSegment();
            return new RecoveredState(voterId, termState, snapshotFileHeader.getHeader(), entries);
        } catch (IOException e) {
            throw markFailed("opening the storage", e);
        }
    }

    private void reset() {
        close();
        segments.clear();
        snapshotFileHeader = SnapshotFileHeader.getDefaultInstance();
        termState = TermState.getDefaultInstance();
        failed = false;
    }

    /**
     * Creates a folder and its parents and syncs them, so that they survive a crash of the host.
     */
    private void createFolder(Path newFolder) throws IOException {
        if (Files.isDirectory(newFolder)) {
            return;
        }
        Path parentFolder = newFolder.getParent();
        createFolder(parentFolder);
        Files.createDirectories(newFolder);
        fileAccess.syncFolder(parentFolder);
    }

    private void acquireLock() throws IOException, StorageLockedException {
        lockChannel =
                FileChannel.open(
                        folder.resolve(LOCK_FILE_NAME),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        if (!tryLock()) {
            close();
            throw new StorageLockedException(folder);
        }
    }

    private boolean tryLock() throws IOException {
        try {
            FileLock lock = lockChannel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            return false;
        }
    }

    private VoterId readOrCreateIdentity(GroupId groupId, NodeId nodeId)
            throws IOException, StorageException {
        if (identityFile.exists()) {
            return identityFile.read(groupId, nodeId);
        }
        if (!segmentNumbers().isEmpty() || snapshotStore.readNewest().isPresent()) {
            throw new StorageCorruptedException(
                    folder.toString(),
                    "the folder contains a log or snapshot but no identity file");
        }
        return identityFile.create(groupId, nodeId);
    }

    private List<Entry> readSegments() throws IOException, StorageException {
        long snapshotIndex = snapshotFileHeader.getHeader().getIndex();
        SegmentReader reader =
                new SegmentReader(
                        folder, fileAccess, snapshotFileHeader.getFirstSegment(), snapshotIndex);
        reader.readAll(segmentNumbers());
        segments.addAll(reader.segments());
        termState = reader.termState();
        List<Entry> entries = reader.entries();
        if (!entries.isEmpty() && entries.get(0).getIndex() != snapshotIndex + 1) {
            throw new StorageCorruptedException(
                    folder.toString(),
                    "the log starts at index "
                            + entries.get(0).getIndex()
                            + " but the snapshot ends at index "
                            + snapshotIndex);
        }
        return entries;
    }

    private List<Long> segmentNumbers() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(Segment::parseNumber)
                    .flatMap(number -> number.stream().boxed())
                    .sorted()
                    .toList();
        }
    }

    /**
     * Writes the last segment to a new file. After a failed sync the file system may report data as
     * stored that it has dropped, and only a new write makes sure that the disk takes data again.
     */
    private void rewriteLastSegment() throws IOException {
        if (segments.isEmpty()) {
            return;
        }
        Path file = segments.getLast().filePath(folder);
        Path temporary = folder.resolve(TEMPORARY_SEGMENT_FILE_NAME);
        fileAccess.delete(temporary);
        try (FileChannel channel =
                FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            fileAccess.write(channel, ByteBuffer.wrap(Files.readAllBytes(file)));
            fileAccess.force(channel);
        }
        fileAccess.moveAtomically(temporary, file);
        fileAccess.syncFolder(folder);
    }

    private void openLastSegment() throws IOException {
        if (segments.isEmpty()
                || segments.getLast().number() < snapshotFileHeader.getFirstSegment()) {
            startSegment();
            return;
        }
        segmentChannel = openForAppend(segments.getLast());
        if (segmentChannel.size() == 0) {
            writeRecord(LogRecord.newBuilder().setTermState(termState).build());
            fileAccess.force(segmentChannel);
        }
    }

    private FileChannel openForAppend(Segment segment) throws IOException {
        return FileChannel.open(
                segment.filePath(folder),
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.APPEND);
    }

    private void startSegment() throws IOException {
        if (segmentChannel != null) {
            fileAccess.force(segmentChannel);
            segmentChannel.close();
        }
        long number = segments.isEmpty() ? 1 : segments.getLast().number() + 1;
        Segment segment = new Segment(number, 0);
        segmentChannel = openForAppend(segment);
        segments.addLast(segment);
        writeRecord(LogRecord.newBuilder().setTermState(termState).build());
        fileAccess.force(segmentChannel);
        fileAccess.syncFolder(folder);
    }

    private void writeRecord(LogRecord logRecord) throws IOException {
        fileAccess.write(
                segmentChannel, ByteBuffer.wrap(RecordFrame.encode(logRecord.toByteArray())));
    }

    @Override
    public void writeTermState(TermState newTermState) throws StorageException {
        requireOpen();
        try {
            termState = newTermState;
            writeRecord(LogRecord.newBuilder().setTermState(newTermState).build());
        } catch (IOException e) {
            throw markFailed("writing the term and vote", e);
        }
    }

    @Override
    public void append(List<Entry> entries) throws StorageException {
        requireOpen();
        try {
            if (segmentChannel.size() >= maxSegmentBytes) {
                startSegment();
            }
            writeEntries(entries);
        } catch (IOException e) {
            throw markFailed("appending entries", e);
        }
    }

    private void writeEntries(List<Entry> entries) throws IOException {
        List<LogRecord> logRecords =
                entries.stream()
                        .map(entry -> LogRecord.newBuilder().setEntry(entry).build())
                        .toList();
        int size =
                logRecords.stream()
                        .mapToInt(r -> RecordFrame.HEADER_BYTES + r.getSerializedSize())
                        .sum();
        ByteBuffer buffer = ByteBuffer.allocate(size);
        for (LogRecord logRecord : logRecords) {
            buffer.put(RecordFrame.encode(logRecord.toByteArray()));
        }
        fileAccess.write(segmentChannel, buffer.flip());
        long highestIndex = entries.get(entries.size() - 1).getIndex();
        segments.addLast(segments.removeLast().withHighestIndexAtLeast(highestIndex));
    }

    @Override
    public void sync() throws StorageException {
        requireOpen();
        try {
            fileAccess.force(segmentChannel);
        } catch (IOException e) {
            throw markFailed("syncing the log", e);
        }
    }

    @Override
    public void saveSnapshot(SnapshotHeader header, byte[] state) throws StorageException {
        requireOpen();
        try {
            replaceSnapshot(header, state, snapshotFileHeader.getFirstSegment());
            deleteSegmentsUpTo(header.getIndex());
        } catch (IOException e) {
            throw markFailed("saving a snapshot", e);
        }
    }

    @Override
    public void installSnapshot(SnapshotHeader header, byte[] state) throws StorageException {
        requireOpen();
        try {
            fileAccess.force(segmentChannel);
            replaceSnapshot(header, state, segments.getLast().number() + 1);
            startSegment();
            deleteSegmentsUpTo(Long.MAX_VALUE);
        } catch (IOException e) {
            throw markFailed("installing a snapshot", e);
        }
    }

    private void replaceSnapshot(SnapshotHeader header, byte[] state, long firstSegment)
            throws IOException {
        SnapshotFileHeader newSnapshot =
                SnapshotFileHeader.newBuilder()
                        .setHeader(header)
                        .setFirstSegment(firstSegment)
                        .build();
        snapshotStore.write(newSnapshot, state);
        snapshotFileHeader = newSnapshot;
        snapshotStore.deleteBefore(header.getIndex());
    }

    private void deleteSegmentsUpTo(long highestIndex) throws IOException {
        while (segments.size() > 1 && segments.getFirst().highestIndex() <= highestIndex) {
            fileAccess.delete(segments.removeFirst().filePath(folder));
        }
    }

    @Override
    public byte[] readSnapshot(long offset, int length) throws StorageException {
        try {
            return snapshotStore.read(snapshotFileHeader, offset, length);
        } catch (IOException e) {
            throw markFailed("reading the snapshot", e);
        }
    }

    @Override
    public void close() {
        closeQuietly(segmentChannel);
        closeQuietly(lockChannel);
        segmentChannel = null;
        lockChannel = null;
    }

    private static void closeQuietly(FileChannel file) {
        try {
            if (file != null) {
                file.close();
            }
        } catch (IOException ignored) {
            // Data counts as stored only after a sync, so a failed close loses nothing.
        }
    }

    private void requireOpen() throws StorageException {
        if (failed || segmentChannel == null) {
            throw new StorageException(
                    folder + " has failed earlier or is not open; open the storage again");
        }
    }

    private StorageException markFailed(String action, IOException cause) {
        failed = true;
        return new StorageException(
                action
                        + " in "
                        + folder
                        + " failed: "
                        + cause.getMessage()
                        + "; free disk space or replace the disk, and restart the node if it does"
                        + " not recover",
                cause);
    }
}
