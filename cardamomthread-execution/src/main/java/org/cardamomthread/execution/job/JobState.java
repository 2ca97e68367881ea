package org.cardamomthread.execution.job;

/** States how far accepted work has come. */
public enum JobState {
    /** Waits for a node. */
    QUEUED,
    /** A node works on it under a lease. */
    ASSIGNED,
    /** Its result is stored; final. */
    COMPLETED,
    /** It was given up with a reason; final. */
    FAILED;

    /**
     * Tells whether the state never changes again.
     *
     * @return true for completed and failed
     */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED;
    }
}
