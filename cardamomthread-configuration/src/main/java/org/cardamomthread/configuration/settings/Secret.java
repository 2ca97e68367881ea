package org.cardamomthread.configuration.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Objects;

/**
 * Holds a secret string that {@code toString} does not disclose, so that it does not appear in
 * logs.
 *
 * <p>Immutable and thread-safe.
 */
public final class Secret {

    /** The minimum length of a secret, in characters. */
    public static final int MIN_LENGTH_CHARS = 8;

    private final String value;

    /**
     * Creates a secret.
     *
     * @param value the secret string, at least {@value #MIN_LENGTH_CHARS} characters
     * @throws IllegalArgumentException if the string is shorter
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
     * Returns the secret string; callers must not log it or include it in messages.
     *
     * @return the secret string
     */
    public String reveal() {
        return value;
    }

    /**
     * Compares a presented string with the secret in constant time, so that the duration does not
     * reveal where they differ.
     *
     * @param presented the string that a client presented
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
