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

/** Reads the segments of a log in order. Used by one thread. */
final class SegmentReader {

    private final Path folder;
    private final FileAccess fileAccess;
    private final long firstSegmentNumber;
    private final List<Segment> segments = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private TermState termState = TermState.getDefaultInstance();

    /**
     * Creates a reader.
     *
     * @param folder the group's folder
     * @param access performs file operations
     * @param firstSegment entries of segments before this number are skipped
     */
    SegmentReader(Path folder, FileAccess access, long firstSegment) {
        this.folder = folder;
        this.fileAccess = access;
        this.firstSegmentNumber = firstSegment;
    }

    /**
     * Reads all segments; cuts an incomplete record off the end of the last one.
     *
     * @param numbers the numbers of the segments, ascending
     * @throws IOException if a file is unreadable
     * @throws StorageCorruptedException if a record is damaged
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
        Path file = segment.file(folder);
        byte[] content = Files.readAllBytes(file);
        Segment result = segment;
        int offset = 0;
        RecordFrame.RecordStatus finding = RecordFrame.checkRecord(content, offset);
        while (finding == RecordFrame.RecordStatus.VALID) {
            int length = RecordFrame.payloadLength(content, offset);
            int start = offset + RecordFrame.HEADER_BYTES;
            result = processRecord(result, file, ByteBuffer.wrap(content, start, length));
            offset = start + length;
            finding = RecordFrame.checkRecord(content, offset);
        }
        if (finding == RecordFrame.RecordStatus.CORRUPT
                || finding == RecordFrame.RecordStatus.INCOMPLETE && !isLast) {
            throw new StorageCorruptedException(
                    file + " at byte " + offset, "a synced record has changed or was cut off");
        }
        if (isLast) {
            truncateAndSync(file, offset);
        }
        return result;
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
            throw new StorageCorruptedException(file.toString(), "a record has an unknown form");
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
        if (!entries.isEmpty()) {
            long firstIndex = entries.get(0).getIndex();
            long keep = Math.max(0, entry.getIndex() - firstIndex);
            if (keep > entries.size()) {
                throw new StorageCorruptedException(
                        file.toString(), "entries before index " + entry.getIndex() + " are gone");
            }
            entries.subList((int) keep, entries.size()).clear();
        }
        entries.add(entry);
    }
}
