package org.cardamomthread.core.id;

/**
 * Identifies a declared class of endpoints.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text form, as defined by {@link Identifiers}
 */
public record EndpointClassId(String value) implements Comparable<EndpointClassId> {

    /** Validates the text form. */
    public EndpointClassId {
        Identifiers.requireValid("EndpointClassId", value);
    }

    @Override
    public int compareTo(EndpointClassId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
