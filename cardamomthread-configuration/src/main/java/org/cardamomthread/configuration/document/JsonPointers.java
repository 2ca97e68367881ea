package org.cardamomthread.configuration.document;

/** Builds JSON pointers. Stateless and safe for use by several threads. */
public final class JsonPointers {

    private JsonPointers() {}

    /**
     * Escapes one member name.
     *
     * @param name the name
     * @return the name as a segment of a JSON pointer
     */
    public static String escape(String name) {
        return name.replace("~", "~0").replace("/", "~1");
    }

    /**
     * Joins segments to a pointer.
     *
     * @param segments member names and indexes, unescaped
     * @return the pointer
     */
    public static String of(Object... segments) {
        StringBuilder pointer = new StringBuilder();
        for (Object segment : segments) {
            pointer.append('/').append(escape(segment.toString()));
        }
        return pointer.toString();
    }
}
