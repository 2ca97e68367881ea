package org.cardamomthread.configuration.declaration;

import java.util.List;
import java.util.Objects;

/**
 * Describes how one declaration differs between two sets.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param type what happens to the declaration
 * @param key the declaration
 * @param fields the fields that differ, in the order of their paths; empty unless changed
 */
public record DeclarationChange(Type type, DeclarationKey key, List<FieldChange> fields) {

    /** What happens to a declaration. */
    public enum Type {
        /** It is new. */
        ADDED,
        /** Some fields differ. */
        CHANGED,
        /** It is left out. */
        REMOVED
    }

    /**
     * Describes one field that differs.
     *
     * @param path the path of the field in its declaration, such as {@code latency/firstTokenMs}
     * @param before the JSON text before, empty if the field was absent
     * @param after the JSON text after, empty if the field is absent
     */
    public record FieldChange(String path, String before, String after) {

        /** Checks the arguments. */
        public FieldChange {
            Objects.requireNonNull(path, "path must not be null");
            Objects.requireNonNull(before, "before must not be null");
            Objects.requireNonNull(after, "after must not be null");
        }

        @Override
        public String toString() {
            return path + ": " + orAbsent(before) + " -> " + orAbsent(after);
        }

        private static String orAbsent(String text) {
            return text.isEmpty() ? "(absent)" : text;
        }
    }

    /** Checks the arguments. */
    public DeclarationChange {
        Objects.requireNonNull(type, "type must not be null");
        Objects.requireNonNull(key, "key must not be null");
        fields = List.copyOf(fields);
    }

    @Override
    public String toString() {
        String sign =
                switch (type) {
                    case ADDED -> "+ ";
                    case CHANGED -> "~ ";
                    case REMOVED -> "- ";
                };
        StringBuilder text = new StringBuilder(sign).append(key);
        fields.forEach(field -> text.append("\n    ").append(field));
        return text.toString();
    }
}
