package org.cardamomthread.core.id;

/**
 * Identifies a service that callers address.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form, as {@link Identifiers} allows it
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

    /** Checks the text form. */
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
