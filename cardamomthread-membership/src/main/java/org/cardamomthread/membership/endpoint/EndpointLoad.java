package org.cardamomthread.membership.endpoint;

/**
 * Holds the load that an endpoint reported of itself.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param atMs when it was measured, in milliseconds of the endpoint's own wall clock
 * @param running requests being served
 * @param queued requests waiting in the endpoint
 * @param bearableRequests the most requests in flight that it says it bears
 * @param kvUsedFraction used share of its KV cache, 0 to 1
 * @param prefillTokensPerSecond prompt tokens it reads a second
 * @param decodeTokensPerSecond tokens it generates a second and request
 */
public record EndpointLoad(
        long atMs,
        int running,
        int queued,
        int bearableRequests,
        double kvUsedFraction,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond) {

    /** Checks the counts. */
    public EndpointLoad {
        if (running < 0 || queued < 0 || bearableRequests < 0) {
            throw new IllegalArgumentException(
                    "running, queued and bearableRequests must not be negative");
        }
    }

    /**
     * Returns all requests that the endpoint holds.
     *
     * @return running and queued ones
     */
    public int inFlight() {
        return running + queued;
    }
}
