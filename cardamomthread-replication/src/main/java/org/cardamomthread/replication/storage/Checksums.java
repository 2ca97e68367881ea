package org.cardamomthread.replication.storage;

import java.util.zip.CRC32C;

/** Computes CRC32C checksums. Stateless and thread-safe. */
public final class Checksums {

    private Checksums() {}

    /**
     * Computes the CRC32C checksum of an array.
     *
     * @param bytes the bytes to cover
     * @return the checksum as an unsigned 32-bit value in an int
     */
    public static int crc32c(byte[] bytes) {
        return crc32c(bytes, 0, bytes.length);
    }

    static int crc32c(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }
}
