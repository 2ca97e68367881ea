package org.cardamomthread.configuration.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Objects;

/**
 * Holds a secret text that never appears in logs.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class Secret {

    /** The shortest secret, in characters. */
    public static final int MIN_LENGTH_CHARS = 8;

    private final String value;

    /**
     * Creates a secret.
     *
     * @param value the text, at least {@value #MIN_LENGTH_CHARS} characters
     */
    public Secret(String value) {
        Objects.requireNonNull(value, "value must not be null");
        if (value.length() < MIN_LENGTH_CHARS) {
            throw new IllegalArgumentException(
                    "a secret must have at least " + MIN_LENGTH_CHARS + " characters");
        }
        this.value = value;
    }

    /**
     * Returns the text, for use at an edge only.
     *
     * @return the secret text
     */
    public String reveal() {
        return value;
    }

    /**
     * Compares with a presented text in a time that does not depend on where they differ.
     *
     * @param presented the text that was presented
     * @return true if it equals the secret
     */
    public boolean matches(String presented) {
        byte[] expected = value.getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(expected, presented.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Secret secret && matches(secret.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return "Secret[hidden]";
    }
}
