package org.cardamomthread.core.id;

/**
 * Identifies a data centre.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text form, as defined by {@link Identifiers}
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

    /** Validates the text form. */
    public DataCentreId {
        Identifiers.requireValid("DataCentreId", value);
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
