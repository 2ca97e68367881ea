package org.cardamomthread.daemon.gateway;

/**
 * Records how one attempt went, for the comparison of versions and the state of the endpoint.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param isFailed whether the endpoint failed the attempt
 * @param firstByteMs time to the first byte of the body in milliseconds, negative if none came
 * @param meanGapMs mean time between tokens in milliseconds, negative if fewer than two came
 * @param result a fixed name for metrics
 */
public record AttemptReport(boolean isFailed, long firstByteMs, double meanGapMs, String result) {

    /** Shows an attempt that was given up for reasons outside the endpoint. */
    static final AttemptReport ABANDONED = new AttemptReport(false, -1, -1, "abandoned");

    /**
     * Tells whether the attempt says nothing about the endpoint.
     *
     * @return true if it was given up for reasons outside the endpoint
     */
    public boolean isAbandoned() {
        return this == ABANDONED;
    }
}
