package org.cardamomthread.core.id;

/**
 * Identifies a request of a caller; transferred in the X-Request-Id header.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text form, as defined by {@link Identifiers}
 */
public record RequestId(String value) implements Comparable<RequestId> {

    /** Validates the text form. */
    public RequestId {
        Identifiers.requireValid("RequestId", value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
