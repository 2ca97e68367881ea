package org.cardamomthread.configuration.state;

/**
 * Tells whether a data centre takes work.
 *
 * <p>States join: the higher epoch wins, and at equal epochs out wins over in. The join is
 * associative, commutative and idempotent, so that nodes which were cut off from each other come to
 * the same state in whatever order they hear of changes. Immutable and safe for use by several
 * threads.
 *
 * @param out true if the data centre is out of service
 * @param epoch number of the change, 0 for a data centre that was never changed
 */
public record DataCentreState(boolean out, long epoch) {

    /** The state of a data centre that was never changed. */
    public static final DataCentreState INITIAL = new DataCentreState(false, 0);

    /** Checks the arguments. */
    public DataCentreState {
        if (epoch < 0) {
            throw new IllegalArgumentException("epoch " + epoch + " must not be negative");
        }
    }

    /**
     * Joins two states.
     *
     * @param other the other state
     * @return the state that wins
     */
    public DataCentreState join(DataCentreState other) {
        if (epoch != other.epoch) {
            return epoch > other.epoch ? this : other;
        }
        return out ? this : other;
    }
}
