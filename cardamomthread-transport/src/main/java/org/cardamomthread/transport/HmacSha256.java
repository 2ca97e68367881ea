package org.cardamomthread.transport;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes HMAC-SHA256 authentication codes with one key.
 *
 * <p>Not thread-safe.
 */
final class HmacSha256 {

    private static final String ALGORITHM = "HmacSHA256";

    private final Mac mac;

    HmacSha256(byte[] key) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    "this Java runtime does not support " + ALGORITHM + "; use a runtime that does",
                    e);
        }
    }

    /**
     * Returns the authentication code of the parts. Each part is prefixed with its length, so that
     * different partitions of the same bytes give different codes.
     */
    byte[] compute(byte[]... parts) {
        for (byte[] part : parts) {
            mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
            mac.update(part);
        }
        return mac.doFinal();
    }
}
