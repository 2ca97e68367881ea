package org.cardamomthread.replication.storage;

import java.nio.ByteBuffer;

/**
 * Encodes and checks records in a file. A record consists of a marker byte, the payload length, the
 * CRC32C of both, the CRC32C of the payload, and the payload.
 *
 * <p>The header has its own checksum, so that a corrupt length is not mistaken for an incomplete
 * record. Stateless and thread-safe.
 */
final class RecordFrame {

    static final int HEADER_BYTES = 13;

    private static final byte MARKER = (byte) 0xC7;
    private static final int HEADER_BYTES_IN_CHECKSUM = 5;
    private static final int HEADER_CHECKSUM_OFFSET = 5;
    private static final int PAYLOAD_CHECKSUM_OFFSET = 9;
    private static final int SECTOR_BYTES = 512;

    private RecordFrame() {}

    /** Result of checking a position in a file. */
    enum RecordStatus {
        /** A complete record with matching checksums. */
        VALID,
        /** The end of the file. */
        END_OF_FILE,
        /** A record whose write was interrupted by a crash. */
        INCOMPLETE,
        /** A record that was written completely but has changed since. */
        CORRUPT
    }

    static byte[] encode(byte[] payload) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        buffer.put(MARKER).putInt(payload.length);
        buffer.putInt(Checksums.crc32c(buffer.array(), 0, HEADER_BYTES_IN_CHECKSUM));
        buffer.putInt(Checksums.crc32c(payload));
        buffer.put(payload);
        return buffer.array();
    }

    static int payloadLength(byte[] content, int offset) {
        return ByteBuffer.wrap(content).getInt(offset + 1);
    }

    /**
     * Checks the record at an offset.
     *
     * <p>A crash can leave an unsynced record truncated or with sectors of zeros; any other
     * mismatch is corruption.
     *
     * @param content the content of the file
     * @param offset the offset at which a record may start
     * @return whether there is a valid, incomplete or corrupt record, or the end of the file
     */
    static RecordStatus checkRecord(byte[] content, int offset) {
        if (offset == content.length) {
            return RecordStatus.END_OF_FILE;
        }
        if (content.length - offset < HEADER_BYTES) {
            return RecordStatus.INCOMPLETE;
        }
        ByteBuffer buffer = ByteBuffer.wrap(content);
        int headerChecksum = Checksums.crc32c(content, offset, HEADER_BYTES_IN_CHECKSUM);
        if (content[offset] != MARKER
                || headerChecksum != buffer.getInt(offset + HEADER_CHECKSUM_OFFSET)) {
            return incompleteOrCorrupt(content, offset, offset + HEADER_BYTES);
        }
        int length = payloadLength(content, offset);
        int payloadOffset = offset + HEADER_BYTES;
        if (length > content.length - payloadOffset) {
            return RecordStatus.INCOMPLETE;
        }
        if (Checksums.crc32c(content, payloadOffset, length)
                != buffer.getInt(offset + PAYLOAD_CHECKSUM_OFFSET)) {
            return incompleteOrCorrupt(content, offset, payloadOffset + length);
        }
        return RecordStatus.VALID;
    }

    private static RecordStatus incompleteOrCorrupt(byte[] content, int from, int to) {
        int sectorStart = from;
        while (sectorStart < to) {
            int sectorEnd =
                    Math.min((sectorStart / SECTOR_BYTES + 1) * SECTOR_BYTES, content.length);
            if (isZero(content, sectorStart, sectorEnd)) {
                return RecordStatus.INCOMPLETE;
            }
            sectorStart = sectorEnd;
        }
        return RecordStatus.CORRUPT;
    }

    private static boolean isZero(byte[] content, int from, int to) {
        for (int i = from; i < to; i++) {
            if (content[i] != 0) {
                return false;
            }
        }
        return true;
    }
}
