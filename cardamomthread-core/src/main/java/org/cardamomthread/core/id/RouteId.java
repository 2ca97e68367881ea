package org.cardamomthread.core.id;

/**
 * Identifies a declared route of a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text form, as defined by {@link Identifiers}
 */
public record RouteId(String value) implements Comparable<RouteId> {

    /** Validates the text form. */
    public RouteId {
        Identifiers.requireValid("RouteId", value);
    }

    @Override
    public int compareTo(RouteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
