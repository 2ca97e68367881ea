package org.cardamomthread.core.id;

/**
 * Identifies one request of a caller, as carried in the X-Request-Id header.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form, as {@link Identifiers} allows it
 */
public record RequestId(String value) implements Comparable<RequestId> {

    /** Checks the text form. */
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
