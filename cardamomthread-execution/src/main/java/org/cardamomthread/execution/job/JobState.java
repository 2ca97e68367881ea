package org.cardamomthread.execution.job;

/** State of an accepted job. */
public enum JobState {
    /** Waits for assignment to a node. */
    QUEUED,
    /** Assigned to a node that holds a lease. */
    ASSIGNED,
    /** Completed, with its result stored. Final. */
    COMPLETED,
    /** Failed, with the reason stored. Final. */
    FAILED;

    /**
     * Returns whether the state is final, that is, never changes again.
     *
     * @return true for {@link #COMPLETED} and {@link #FAILED}
     */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED;
    }
}
