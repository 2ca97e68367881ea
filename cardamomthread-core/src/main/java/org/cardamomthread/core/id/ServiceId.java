package org.cardamomthread.core.id;

/**
 * Identifies a service that callers send requests to.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text form, as defined by {@link Identifiers}
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

    /** Validates the text form. */
    public ServiceId {
        Identifiers.requireValid("ServiceId", value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
