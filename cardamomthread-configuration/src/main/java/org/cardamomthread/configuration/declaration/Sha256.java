package org.cardamomthread.configuration.declaration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests. Stateless and safe for use by several threads. */
public final class Sha256 {

    private Sha256() {}

    /**
     * Computes the digest of a text.
     *
     * @param text the text, taken as UTF-8
     * @return 64 lower-case hexadecimal digits
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
