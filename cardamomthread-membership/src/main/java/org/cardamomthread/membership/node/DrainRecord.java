package org.cardamomthread.membership.node;

import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;

/**
 * States whether a data centre is out of service. Records of one data centre join: the higher epoch
 * wins, and at equal epochs out wins over in; the join is commutative, associative and idempotent.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param dataCentre the data centre
 * @param epoch rises with each change; at least one
 * @param out whether it is out of service
 */
public record DrainRecord(DataCentreId dataCentre, long epoch, boolean out) {

    /** Checks the epoch. */
    public DrainRecord {
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
        if (epoch < 1) {
            throw new IllegalArgumentException(
                    "epoch " + epoch + " of data centre " + dataCentre + " must be at least 1");
        }
    }

    /**
     * Joins two records of the same data centre.
     *
     * @param other the other record
     * @return the one that holds
     */
    public DrainRecord join(DrainRecord other) {
        if (!dataCentre.equals(other.dataCentre)) {
            throw new IllegalArgumentException(
                    "records of " + dataCentre + " and " + other.dataCentre + " do not join");
        }
        if (epoch != other.epoch) {
            return epoch > other.epoch ? this : other;
        }
        return out ? this : other;
    }
}
