package org.cardamomthread.replication.storage;

import java.nio.ByteBuffer;

/**
 * Frames records in a file: a marker byte, the payload's length, the CRC32C of both, the CRC32C of
 * the payload, then the payload.
 *
 * <p>The header has its own checksum, so that a wrong length is not taken for an incomplete record.
 * Stateless and safe for use by several threads.
 */
final class RecordFrame {

    static final int HEADER_BYTES = 13;

    private static final byte MARKER = (byte) 0xC7;
    private static final int CHECKED_HEADER_BYTES = 5;
    private static final int HEADER_CHECKSUM_OFFSET = 5;
    private static final int PAYLOAD_CHECKSUM_OFFSET = 9;
    private static final int SECTOR_BYTES = 512;

    private RecordFrame() {}

    /** States what stands at a position of a file. */
    enum Finding {
        /** A whole record with the right checksums. */
        VALID,
        /** The end of the file. */
        END,
        /** A record whose writing was interrupted. */
        INCOMPLETE,
        /** A record that was written whole and has changed. */
        DAMAGED
    }

    static byte[] encode(byte[] payload) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        buffer.put(MARKER).putInt(payload.length);
        buffer.putInt(Checksums.of(buffer.array(), 0, CHECKED_HEADER_BYTES));
        buffer.putInt(Checksums.of(payload));
        buffer.put(payload);
        return buffer.array();
    }

    static int payloadLength(byte[] file, int offset) {
        return ByteBuffer.wrap(file).getInt(offset + 1);
    }

    /**
     * Examines the record at a position.
     *
     * <p>A crash leaves an unsynced record cut short or with sectors of zeros; any other difference
     * is damage.
     *
     * @param file the file's content
     * @param offset the position
     * @return what stands there
     */
    static Finding examine(byte[] file, int offset) {
        if (offset == file.length) {
            return Finding.END;
        }
        if (file.length - offset < HEADER_BYTES) {
            return Finding.INCOMPLETE;
        }
        ByteBuffer buffer = ByteBuffer.wrap(file);
        int headerChecksum = Checksums.of(file, offset, CHECKED_HEADER_BYTES);
        if (file[offset] != MARKER
                || headerChecksum != buffer.getInt(offset + HEADER_CHECKSUM_OFFSET)) {
            return incompleteIfZeroSector(file, offset, offset + HEADER_BYTES);
        }
        int length = payloadLength(file, offset);
        int start = offset + HEADER_BYTES;
        if (length > file.length - start) {
            return Finding.INCOMPLETE;
        }
        if (Checksums.of(file, start, length) != buffer.getInt(offset + PAYLOAD_CHECKSUM_OFFSET)) {
            return incompleteIfZeroSector(file, offset, start + length);
        }
        return Finding.VALID;
    }

    private static Finding incompleteIfZeroSector(byte[] file, int from, int to) {
        int start = from;
        while (start < to) {
            int sectorEnd = Math.min((start / SECTOR_BYTES + 1) * SECTOR_BYTES, file.length);
            if (isZero(file, start, sectorEnd)) {
                return Finding.INCOMPLETE;
            }
            start = sectorEnd;
        }
        return Finding.DAMAGED;
    }

    private static boolean isZero(byte[] file, int from, int to) {
        for (int i = from; i < to; i++) {
            if (file[i] != 0) {
                return false;
            }
        }
        return true;
    }
}
