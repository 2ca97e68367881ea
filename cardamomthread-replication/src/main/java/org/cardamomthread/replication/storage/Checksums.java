package org.cardamomthread.replication.storage;

import java.util.zip.CRC32C;

/** Computes CRC32C checksums. Stateless and safe for use by several threads. */
public final class Checksums {

    private Checksums() {}

    /**
     * Computes the checksum of a whole array.
     *
     * @param bytes the bytes
     * @return the checksum
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
