package org.cardamomthread.core.id;

/**
 * Identifies one change of an operator; a resend carries the same identifier.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form, as {@link Identifiers} allows it
 */
public record OperationId(String value) implements Comparable<OperationId> {

    /** Checks the text form. */
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
