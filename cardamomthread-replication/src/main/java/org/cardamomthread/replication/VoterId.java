package org.cardamomthread.replication;

import org.cardamomthread.core.id.Identifiers;

/**
 * Identifies one data folder of a voter; a node that lost its folder returns with another identity.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form, as {@link Identifiers} allows it
 */
public record VoterId(String value) implements Comparable<VoterId> {

    /** Checks the text form. */
    public VoterId {
        if (!Identifiers.isValid(value)) {
            throw new IllegalArgumentException(
                    "VoterId \"" + value + "\" must have the form of an identifier");
        }
    }

    @Override
    public int compareTo(VoterId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
