package org.cardamomthread.core.id;

/**
 * Identifies an accepted deferrable job.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text form, as defined by {@link Identifiers}
 */
public record JobId(String value) implements Comparable<JobId> {

    /** Validates the text form. */
    public JobId {
        Identifiers.requireValid("JobId", value);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
