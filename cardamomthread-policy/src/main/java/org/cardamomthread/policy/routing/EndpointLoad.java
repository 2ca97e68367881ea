package org.cardamomthread.policy.routing;

/**
 * Holds an endpoint's own load report, which may be late.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param atMs time of the report on the reader's monotonic clock, in milliseconds
 * @param running requests in execution
 * @param queued requests accepted but not in execution
 * @param bearableRequests requests that the endpoint executes together, at least one
 * @param prefillTokensPerSecond prompt tokens processed a second, above zero
 * @param decodeTokensPerSecond tokens generated a second for one request, above zero
 */
public record EndpointLoad(
        long atMs,
        int running,
        int queued,
        int bearableRequests,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond) {

    /** Checks the ranges. */
    public EndpointLoad {
        if (running < 0 || queued < 0 || bearableRequests < 1) {
            throw new IllegalArgumentException(
                    "running and queued must be 0 or more and bearableRequests 1 or more, got "
                            + running
                            + ", "
                            + queued
                            + " and "
                            + bearableRequests);
        }
        if (!(prefillTokensPerSecond > 0) || !(decodeTokensPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "token rates must be above 0, got prefill "
                            + prefillTokensPerSecond
                            + " and decode "
                            + decodeTokensPerSecond);
        }
    }
}
