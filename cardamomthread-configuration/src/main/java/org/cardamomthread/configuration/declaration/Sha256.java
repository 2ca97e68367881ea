package org.cardamomthread.configuration.declaration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests. Stateless and thread-safe. */
public final class Sha256 {

    private Sha256() {}

    /**
     * Returns the digest of a string.
     *
     * @param text the string, which is encoded in UTF-8
     * @return the digest as 64 lower-case hexadecimal digits
     */
    public static String hexDigest(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] hash = digest.digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must provide SHA-256", e);
        }
    }
}
