package org.cardamomthread.replication;

import org.cardamomthread.core.id.Identifiers;

/**
 * Identifies the data folder of a group member; a node that lost its folder rejoins with a new
 * identity.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text form, which must be valid according to {@link Identifiers}
 */
public record VoterId(String value) implements Comparable<VoterId> {

    /** Requires the text form to be a valid identifier. */
    public VoterId {
        if (!Identifiers.isValid(value)) {
            throw new IllegalArgumentException(
                    "VoterId \""
                            + value
                            + "\" is not a valid identifier; use letters, digits, '.', '-', '_' or"
                            + " ':', beginning with a letter or digit");
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
