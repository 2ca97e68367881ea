package org.cardamomthread.membership.endpoint;

/**
 * Holds the load that an endpoint measured and reported.
 *
 * <p>Immutable and thread-safe.
 *
 * @param measuredAtMs the time of measurement in milliseconds, on the endpoint's own wall clock
 * @param running the number of requests being served
 * @param queued the number of requests queued in the endpoint
 * @param concurrencyLimit the concurrency limit that the endpoint reports: the most requests that
 *     may be in flight there
 * @param kvUsedFraction the fraction of its KV cache in use, from 0 to 1
 * @param prefillTokensPerSecond the prompt tokens processed per second
 * @param decodeTokensPerSecond the tokens generated per second and request
 */
public record EndpointLoad(
        long measuredAtMs,
        int running,
        int queued,
        int concurrencyLimit,
        double kvUsedFraction,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond) {

    /** Rejects negative request counts. */
    public EndpointLoad {
        if (running < 0 || queued < 0 || concurrencyLimit < 0) {
            throw new IllegalArgumentException(
                    "running, queued and concurrencyLimit must not be negative");
        }
    }

    /**
     * Returns the number of requests in flight at the endpoint.
     *
     * @return the sum of running and queued requests
     */
    public int inFlight() {
        return running + queued;
    }
}
