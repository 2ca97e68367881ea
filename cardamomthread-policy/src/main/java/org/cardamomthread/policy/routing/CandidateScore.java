package org.cardamomthread.policy.routing;

import org.cardamomthread.core.id.EndpointId;

/**
 * Explains how a candidate was judged; the lowest total is best.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param endpoint the candidate
 * @param cachedTokens prompt tokens expected in its cache
 * @param queueMs estimated wait for a place, in milliseconds
 * @param prefillMs estimated time to process the uncached prompt, in milliseconds
 * @param firstTokenMs estimated time to the first token with network delay, in milliseconds
 * @param lateness penalty for the estimate against the target, zero if comfortably within
 * @param price price of the call, weighted, relative to the cheapest candidate
 * @param risk expected price of work redone after a reclaim, weighted, relative likewise
 */
public record CandidateScore(
        EndpointId endpoint,
        double cachedTokens,
        double queueMs,
        double prefillMs,
        double firstTokenMs,
        double lateness,
        double price,
        double risk) {

    /**
     * Returns the sum of the penalties.
     *
     * @return zero or more
     */
    public double total() {
        return lateness + price + risk;
    }
}
