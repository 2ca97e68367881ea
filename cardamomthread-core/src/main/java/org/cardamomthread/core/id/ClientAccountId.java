package org.cardamomthread.core.id;

/**
 * Identifies a client account.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text form, as defined by {@link Identifiers}
 */
public record ClientAccountId(String value) implements Comparable<ClientAccountId> {

    /** Validates the text form. */
    public ClientAccountId {
        Identifiers.requireValid("ClientAccountId", value);
    }

    @Override
    public int compareTo(ClientAccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
