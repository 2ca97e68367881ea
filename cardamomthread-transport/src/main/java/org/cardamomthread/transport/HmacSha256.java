package org.cardamomthread.transport;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes HMAC-SHA256 with one key.
 *
 * <p>Not safe for use by several threads.
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
                    "this Java runtime lacks " + ALGORITHM + "; install a complete one", e);
        }
    }

    /**
     * Returns the code of the parts, each preceded by its length so that none runs into another.
     */
    byte[] compute(byte[]... parts) {
        for (byte[] part : parts) {
            mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
            mac.update(part);
        }
        return mac.doFinal();
    }
}
