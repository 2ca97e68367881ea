package org.cardamomthread.core.id;

/**
 * Identifies a data centre.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form, as {@link Identifiers} allows it
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

    /** Checks the text form. */
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
