package org.cardamomthread.replication;

import org.cardamomthread.core.id.Identifiers;

/**
 * Identifies a replication group: a replicated log and the members that store it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text form, which must be valid according to {@link Identifiers}
 */
public record GroupId(String value) implements Comparable<GroupId> {

    /** Requires the text form to be a valid identifier. */
    public GroupId {
        if (!Identifiers.isValid(value)) {
            throw new IllegalArgumentException(
                    "GroupId \""
                            + value
                            + "\" is not a valid identifier; use letters, digits, '.', '-', '_' or"
                            + " ':', beginning with a letter or digit");
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
