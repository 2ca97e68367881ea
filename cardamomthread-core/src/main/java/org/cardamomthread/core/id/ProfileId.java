package org.cardamomthread.core.id;

/**
 * Identifies a traffic profile declared by operators.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text form, as defined by {@link Identifiers}
 */
public record ProfileId(String value) implements Comparable<ProfileId> {

    /** Validates the text form. */
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
