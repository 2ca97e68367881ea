package org.cardamomthread.core.id;

/**
 * Identifies a profile declared by operators.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form, as {@link Identifiers} allows it
 */
public record ProfileId(String value) implements Comparable<ProfileId> {

    /** Checks the text form. */
    public ProfileId {
        Identifiers.requireValid("ProfileId", value);
    }

    @Override
    public int compareTo(ProfileId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
