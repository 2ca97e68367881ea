package org.cardamomthread.configuration.document;

import java.util.Objects;

/**
 * Names a place in a document.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param source the file, or a name for a document without one
 * @param line the line, from 1; 0 if the document has no lines
 * @param column the column, from 1; 0 if the document has no lines
 */
public record SourceLocation(String source, int line, int column) {

    /** Checks the arguments. */
    public SourceLocation {
        Objects.requireNonNull(source, "source must not be null");
        if (line < 0 || column < 0) {
            throw new IllegalArgumentException(
                    "line " + line + " and column " + column + " must not be negative");
        }
    }

    /**
     * Names a document as a whole.
     *
     * @param source the file or name
     * @return a location without line and column
     */
    public static SourceLocation ofDocument(String source) {
        return new SourceLocation(source, 0, 0);
    }

    @Override
    public String toString() {
        return line == 0 ? source : source + ":" + line + ":" + column;
    }
}
