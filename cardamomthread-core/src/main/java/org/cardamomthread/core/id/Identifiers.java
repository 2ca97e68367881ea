package org.cardamomthread.core.id;

import java.util.regex.Pattern;

/**
 * Holds the text form that all identifiers share: 1 to {@value #MAX_LENGTH} letters, digits, dots,
 * dashes, underscores or colons, of which the first is a letter or digit.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Identifiers {

    /** The longest identifier, in characters. */
    public static final int MAX_LENGTH = 128;

    private static final Pattern VALID =
            Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:\\-]{0," + (MAX_LENGTH - 1) + "}");

    private Identifiers() {}

    /**
     * Tells whether a text can be an identifier.
     *
     * @param value the text, may be null
     * @return true if it has the form above
     */
    public static boolean isValid(String value) {
        return value != null && VALID.matcher(value).matches();
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
