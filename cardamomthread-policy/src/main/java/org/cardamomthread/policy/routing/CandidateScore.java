package org.cardamomthread.policy.routing;

import org.cardamomthread.core.id.EndpointId;

/**
 * Holds the penalties of a candidate and the estimates behind them; the lowest total is best.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint the scored endpoint
 * @param cachedTokens prompt tokens expected in its prefix cache
 * @param queueMs estimated wait for a slot in the batch, in milliseconds
 * @param prefillMs estimated time to process the uncached prompt, in milliseconds
 * @param firstTokenMs estimated time to the first token including the network round trip, in
 *     milliseconds
 * @param latenessPenalty penalty for missing or approaching the first-token target, at least zero
 * @param pricePenalty weighted penalty for the price of the call relative to the cheapest
 *     candidate, at least zero
 * @param riskPenalty weighted penalty for work expected to be done twice, after a reclaim or a lost
 *     cache entry, at least zero
 */
public record CandidateScore(
        EndpointId endpoint,
        double cachedTokens,
        double queueMs,
        double prefillMs,
        double firstTokenMs,
        double latenessPenalty,
        double pricePenalty,
        double riskPenalty) {

    /**
     * Returns the sum of the penalties.
     *
     * @return total penalty, at least zero
     */
    public double total() {
        return latenessPenalty + pricePenalty + riskPenalty;
    }
}
