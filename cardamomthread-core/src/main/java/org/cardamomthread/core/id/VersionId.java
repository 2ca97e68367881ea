package org.cardamomthread.core.id;

/**
 * Identifies a version of a service.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form, as {@link Identifiers} allows it
 */
public record VersionId(String value) implements Comparable<VersionId> {

    /** Checks the text form. */
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
