package org.cardamomthread.configuration.declaration;

import java.util.List;
import java.util.Objects;

/**
 * Describes how one declaration differs between two sets of declarations.
 *
 * <p>Immutable and thread-safe.
 *
 * @param type whether the declaration is added, changed or removed
 * @param key key of the declaration
 * @param fields the fields that differ, in the order of their paths; empty unless the type is
 *     {@code CHANGED}
 */
public record DeclarationChange(Type type, DeclarationKey key, List<FieldChange> fields) {

    /** The type of a change. */
    public enum Type {
        /** Only the later set contains the declaration. */
        ADDED,
        /** Both sets contain the declaration, with different fields. */
        CHANGED,
        /** Only the earlier set contains the declaration. */
        REMOVED
    }

    /**
     * Describes one field that differs.
     *
     * @param path the path of the field in its declaration, such as {@code latency/firstTokenMs}
     * @param before the earlier value as JSON, empty if the field was absent
     * @param after the later value as JSON, empty if the field is absent
     */
    public record FieldChange(String path, String before, String after) {

        /** Validates the components. */
        public FieldChange {
            Objects.requireNonNull(path, "path must not be null");
            Objects.requireNonNull(before, "before must not be null");
            Objects.requireNonNull(after, "after must not be null");
        }

        @Override
        public String toString() {
            return path + ": " + orAbsent(before) + " -> " + orAbsent(after);
        }

        private static String orAbsent(String json) {
            return json.isEmpty() ? "(absent)" : json;
        }
    }

    /** Validates the components. */
    public DeclarationChange {
        Objects.requireNonNull(type, "type must not be null");
        Objects.requireNonNull(key, "key must not be null");
        fields = List.copyOf(fields);
    }

    @Override
    public String toString() {
        String prefix =
                switch (type) {
                    case ADDED -> "+ ";
                    case CHANGED -> "~ ";
                    case REMOVED -> "- ";
                };
        StringBuilder text = new StringBuilder(prefix).append(key);
        fields.forEach(field -> text.append("\n    ").append(field));
        return text.toString();
    }
}
