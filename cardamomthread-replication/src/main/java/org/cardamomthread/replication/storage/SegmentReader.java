package org.cardamomthread.replication.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.LogRecord;
import org.cardamomthread.replication.generated.TermState;

/** Reads and checks the segments of a log in order. Not thread-safe. */
final class SegmentReader {

    private final Path folder;
    private final FileAccess fileAccess;
    private final long firstSegmentNumber;
    private final long snapshotIndex;
    private final List<Segment> segments = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private TermState termState = TermState.getDefaultInstance();

    /**
     * Creates a reader.
     *
     * @param folder the folder that contains the segments
     * @param fileAccess performs file operations
     * @param firstSegmentNumber the number of the first segment whose entries belong to the log
     * @param snapshotIndex the index up to which entries are contained in the snapshot, so that
     *     they are not kept in memory
     */
    SegmentReader(Path folder, FileAccess fileAccess, long firstSegmentNumber, long snapshotIndex) {
        this.folder = folder;
        this.fileAccess = fileAccess;
        this.firstSegmentNumber = firstSegmentNumber;
        this.snapshotIndex = snapshotIndex;
    }

    /**
     * Reads all segments and truncates an incomplete record at the end of the last one.
     *
     * @param numbers the numbers of all segments in the folder, ascending
     * @throws IOException if a file is unreadable
     * @throws StorageCorruptedException if a segment is missing or a record is corrupt
     */
    void readAll(List<Long> numbers) throws IOException, StorageCorruptedException {
        for (int i = 0; i < numbers.size(); i++) {
            boolean isLast = i == numbers.size() - 1;
            if (i > 0 && numbers.get(i) != numbers.get(i - 1) + 1) {
                throw new StorageCorruptedException(
                        folder.toString(), "segment " + (numbers.get(i - 1) + 1) + " is missing");
            }
            segments.add(readSegment(new Segment(numbers.get(i), 0), isLast));
        }
    }

    List<Segment> segments() {
        return segments;
    }

    List<Entry> entries() {
        return entries;
    }

    TermState termState() {
        return termState;
    }

    private Segment readSegment(Segment segment, boolean isLast)
            throws IOException, StorageCorruptedException {
        Path file = segment.filePath(folder);
        byte[] content = Files.readAllBytes(file);
        Segment updatedSegment = segment;
        int offset = 0;
        RecordFrame.RecordStatus status = RecordFrame.checkRecord(content, offset);
        while (status == RecordFrame.RecordStatus.VALID) {
            int length = RecordFrame.payloadLength(content, offset);
            int payloadOffset = offset + RecordFrame.HEADER_BYTES;
            updatedSegment =
                    processRecord(
                            updatedSegment, file, ByteBuffer.wrap(content, payloadOffset, length));
            offset = payloadOffset + length;
            status = RecordFrame.checkRecord(content, offset);
        }
        if (status == RecordFrame.RecordStatus.CORRUPT
                || status == RecordFrame.RecordStatus.INCOMPLETE && !isLast) {
            throw new StorageCorruptedException(
                    file + " at byte " + offset, "a synced record is corrupt or truncated");
        }
        if (isLast) {
            truncateAndSync(file, offset);
        }
        return updatedSegment;
    }

    private void truncateAndSync(Path file, int length) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.truncate(length);
            fileAccess.force(channel);
        }
    }

    private Segment processRecord(Segment segment, Path file, ByteBuffer payload)
            throws StorageCorruptedException {
        LogRecord logRecord;
        try {
            logRecord = LogRecord.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            throw new StorageCorruptedException(file.toString(), "a record cannot be parsed");
        }
        if (logRecord.hasTermState()) {
            termState = logRecord.getTermState();
        }
        if (!logRecord.hasEntry()) {
            return segment;
        }
        Entry entry = logRecord.getEntry();
        if (segment.number() >= firstSegmentNumber) {
            addEntry(file, entry);
        }
        return segment.withHighestIndexAtLeast(entry.getIndex());
    }

    private void addEntry(Path file, Entry entry) throws StorageCorruptedException {
        if (entry.getIndex() <= snapshotIndex) {
            entries.clear();
            return;
        }
        if (!entries.isEmpty()) {
            long firstIndex = entries.get(0).getIndex();
            long retainedCount = Math.max(0, entry.getIndex() - firstIndex);
            if (retainedCount > entries.size()) {
                throw new StorageCorruptedException(
                        file.toString(),
                        "entries before index " + entry.getIndex() + " are missing");
            }
            entries.subList((int) retainedCount, entries.size()).clear();
        }
        entries.add(entry);
    }
}
