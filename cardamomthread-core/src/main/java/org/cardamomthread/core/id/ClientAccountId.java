package org.cardamomthread.core.id;

/**
 * Identifies a client account.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form, as {@link Identifiers} allows it
 */
public record ClientAccountId(String value) implements Comparable<ClientAccountId> {

    /** Checks the text form. */
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
