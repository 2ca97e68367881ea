package org.cardamomthread.configuration.state;

/**
 * Holds whether a data centre takes work.
 *
 * <p>When two states are merged ({@link #merge}), the state with the higher epoch wins, and at
 * equal epochs out of service wins. The merge is associative, commutative and idempotent, so that
 * nodes on both sides of a network partition converge on the same state in whatever order they
 * receive changes. Immutable and thread-safe.
 *
 * @param drained true if the data centre is out of service and takes no work
 * @param epoch number of the latest change, 0 if the state was never changed
 */
public record DataCentreState(boolean drained, long epoch) {

    /** The state of a data centre whose state was never changed: in service, epoch 0. */
    public static final DataCentreState INITIAL = new DataCentreState(false, 0);

    /** Validates the components. */
    public DataCentreState {
        if (epoch < 0) {
            throw new IllegalArgumentException("epoch " + epoch + " must not be negative");
        }
    }

    /**
     * Merges this state with another one.
     *
     * @param other the other state
     * @return the state that wins
     */
    public DataCentreState merge(DataCentreState other) {
        if (epoch != other.epoch) {
            return epoch > other.epoch ? this : other;
        }
        return drained ? this : other;
    }
}
