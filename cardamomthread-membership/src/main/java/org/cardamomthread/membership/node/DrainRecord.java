package org.cardamomthread.membership.node;

import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;

/**
 * States whether a data centre is drained, that is, out of service. Concurrent records of a data
 * centre are merged: the higher epoch wins, and at equal epochs a drained record wins. The merge is
 * commutative, associative and idempotent, so records converge in whatever order they arrive.
 *
 * <p>Immutable and thread-safe.
 *
 * @param dataCentre the data centre that the record describes
 * @param epoch the change number, which increases with each change and starts at 1
 * @param drained true if the data centre is drained
 */
public record DrainRecord(DataCentreId dataCentre, long epoch, boolean drained) {

    /** Rejects a null data centre and an epoch below 1. */
    public DrainRecord {
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
        if (epoch < 1) {
            throw new IllegalArgumentException(
                    "epoch " + epoch + " of data centre " + dataCentre + " must be at least 1");
        }
    }

    /**
     * Merges this record with another one of the same data centre.
     *
     * @param other the record to merge with
     * @return the record that takes precedence
     * @throws IllegalArgumentException if the other record is of another data centre
     */
    public DrainRecord merge(DrainRecord other) {
        if (!dataCentre.equals(other.dataCentre)) {
            throw new IllegalArgumentException(
                    "drain records of data centres "
                            + dataCentre
                            + " and "
                            + other.dataCentre
                            + " must not be merged");
        }
        if (epoch != other.epoch) {
            return epoch > other.epoch ? this : other;
        }
        return drained ? this : other;
    }
}
