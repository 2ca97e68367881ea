package org.cardamomthread.core.id;

import java.util.regex.Pattern;

/**
 * Defines the text form of all identifiers: 1 to {@value #MAX_LENGTH} ASCII letters, digits, dots,
 * dashes, underscores or colons, starting with a letter or digit.
 *
 * <p>Stateless and thread-safe.
 */
public final class Identifiers {

    /** Maximum length of an identifier, in characters. */
    public static final int MAX_LENGTH = 128;

    private static final Pattern VALID_PATTERN =
            Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:\\-]{0," + (MAX_LENGTH - 1) + "}");

    private Identifiers() {}

    /**
     * Returns whether a string is a valid identifier.
     *
     * @param value string to check, may be null
     * @return true if the string has the required form
     */
    public static boolean isValid(String value) {
        return value != null && VALID_PATTERN.matcher(value).matches();
    }

    static void requireValid(String kind, String value) {
        if (!isValid(value)) {
            throw new IllegalArgumentException(
                    kind
                            + " \""
                            + value
                            + "\" must be 1 to "
                            + MAX_LENGTH
                            + " letters, digits, '.', '-', '_' or ':', beginning with a letter or"
                            + " digit");
        }
    }
}
