package org.cardamomthread.core.id;

/**
 * Identifies a version of a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text form, as defined by {@link Identifiers}
 */
public record VersionId(String value) implements Comparable<VersionId> {

    /** Validates the text form. */
    public VersionId {
        Identifiers.requireValid("VersionId", value);
    }

    @Override
    public int compareTo(VersionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
