package org.cardamomthread.policy.routing;

/**
 * Holds the load that an endpoint reported about itself; the report may be outdated.
 *
 * <p>Immutable and thread-safe.
 *
 * @param reportedAtMs time of the report on the monotonic clock of the receiver, in milliseconds
 * @param running number of requests being executed, at least zero
 * @param queued number of requests accepted but not yet being executed, at least zero
 * @param concurrencyLimit maximum number of requests that the endpoint executes concurrently, at
 *     least one
 * @param prefillTokensPerSecond prompt tokens processed per second, above zero
 * @param decodeTokensPerSecond tokens generated per second for one request, above zero
 */
public record EndpointLoadReport(
        long reportedAtMs,
        int running,
        int queued,
        int concurrencyLimit,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond) {

    /** Validates the components. */
    public EndpointLoadReport {
        if (running < 0 || queued < 0 || concurrencyLimit < 1) {
            throw new IllegalArgumentException(
                    "running and queued must be 0 or more and concurrencyLimit 1 or more, got "
                            + running
                            + ", "
                            + queued
                            + " and "
                            + concurrencyLimit);
        }
        if (!(prefillTokensPerSecond > 0) || !(decodeTokensPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "prefillTokensPerSecond and decodeTokensPerSecond must be greater than 0, got "
                            + prefillTokensPerSecond
                            + " and "
                            + decodeTokensPerSecond);
        }
    }
}
