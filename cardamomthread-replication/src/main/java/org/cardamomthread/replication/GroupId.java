package org.cardamomthread.replication;

import org.cardamomthread.core.id.Identifiers;

/**
 * Identifies a replicated log and the voters that keep it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form, as {@link Identifiers} allows it
 */
public record GroupId(String value) implements Comparable<GroupId> {

    /** Checks the text form. */
    public GroupId {
        if (!Identifiers.isValid(value)) {
            throw new IllegalArgumentException(
                    "GroupId \"" + value + "\" must have the form of an identifier");
        }
    }

    @Override
    public int compareTo(GroupId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
