package org.cardamomthread.core.id;

/**
 * Identifies a change requested by an operator. A retry carries the same identifier, so that the
 * change is applied only once.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text form, as defined by {@link Identifiers}
 */
public record OperationId(String value) implements Comparable<OperationId> {

    /** Validates the text form. */
    public OperationId {
        Identifiers.requireValid("OperationId", value);
    }

    @Override
    public int compareTo(OperationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
