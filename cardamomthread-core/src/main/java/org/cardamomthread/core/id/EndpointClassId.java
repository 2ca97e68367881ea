package org.cardamomthread.core.id;

/**
 * Identifies a declared class of endpoints.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form, as {@link Identifiers} allows it
 */
public record EndpointClassId(String value) implements Comparable<EndpointClassId> {

    /** Checks the text form. */
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
