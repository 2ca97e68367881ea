package org.cardamomthread.configuration.document;

/** Builds JSON pointers. Stateless and thread-safe. */
public final class JsonPointers {

    private JsonPointers() {}

    /**
     * Escapes a property name.
     *
     * @param name the unescaped name
     * @return the name as a reference token of a JSON pointer
     */
    public static String escape(String name) {
        return name.replace("~", "~0").replace("/", "~1");
    }

    /**
     * Returns the pointer that consists of the given segments.
     *
     * @param segments property names and array indexes, unescaped
     * @return the pointer, with each segment escaped
     */
    public static String of(Object... segments) {
        StringBuilder pointer = new StringBuilder();
        for (Object segment : segments) {
            pointer.append('/').append(escape(segment.toString()));
        }
        return pointer.toString();
    }
}
