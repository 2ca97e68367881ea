package org.cardamomthread.configuration.document;

import java.util.Objects;

/**
 * Identifies a position in a document.
 *
 * <p>Immutable and thread-safe.
 *
 * @param source the path of the file, or the name of a document that has no file
 * @param line the line, starting at 1; 0 for the document as a whole
 * @param column the column, starting at 1; 0 for the document as a whole
 */
public record SourceLocation(String source, int line, int column) {

    /** Validates the components. */
    public SourceLocation {
        Objects.requireNonNull(source, "source must not be null");
        if (line < 0 || column < 0) {
            throw new IllegalArgumentException(
                    "line " + line + " and column " + column + " must not be negative");
        }
    }

    /**
     * Returns the location of a document as a whole.
     *
     * @param source the path of the file or the name of the document
     * @return a location with line and column 0
     */
    public static SourceLocation ofDocument(String source) {
        return new SourceLocation(source, 0, 0);
    }

    @Override
    public String toString() {
        return line == 0 ? source : source + ":" + line + ":" + column;
    }
}
