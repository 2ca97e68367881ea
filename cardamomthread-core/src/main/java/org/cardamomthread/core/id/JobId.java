package org.cardamomthread.core.id;

/**
 * Identifies one accepted piece of patient work.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form, as {@link Identifiers} allows it
 */
public record JobId(String value) implements Comparable<JobId> {

    /** Checks the text form. */
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
