package org.cardamomthread.core.id;

/**
 * Identifies a declared route of a service.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form, as {@link Identifiers} allows it
 */
public record RouteId(String value) implements Comparable<RouteId> {

    /** Checks the text form. */
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
