package org.cardamomthread.experiments.replay;

import java.util.Arrays;
import org.cardamomthread.policy.admission.MarketSnapshot;
import org.cardamomthread.policy.routing.PrefixIndex;

/** Computes the quartiles of the lowest price during the hour before the replay. Immutable. */
final class MarketHistory {

    private static final long HOUR_MS = 3_600_000;
    private static final int SAMPLES = 120;

    private final double lowerQuartilePrice;
    private final double upperQuartilePrice;

    MarketHistory(SimulatedPrices prices, Workload workload) {
        double[] lowestPrices = new double[SAMPLES];
        for (int i = 0; i < SAMPLES; i++) {
            long atMs = -HOUR_MS + i * (HOUR_MS / SAMPLES);
            lowestPrices[i] =
                    workload.fleet().stream()
                            .filter(spec -> spec.pool() == Call.Pool.MODEL)
                            .mapToDouble(spec -> prices.pricePerHour(spec, atMs))
                            .min()
                            .orElseThrow();
        }
        Arrays.sort(lowestPrices);
        lowerQuartilePrice = lowestPrices[SAMPLES / 4];
        upperQuartilePrice = lowestPrices[3 * SAMPLES / 4];
    }

    /** Returns the market for one call from the point of view of its gateway. */
    MarketSnapshot createSnapshot(ReplayFleet fleet, CallState state, long nowMs) {
        Call call = state.call();
        PrefixIndex prefixes = fleet.gateway(state.gateway()).prefixes();
        double lowestEffectivePrice = Double.POSITIVE_INFINITY;
        double price = Double.POSITIVE_INFINITY;
        double saved = 0;
        for (SimulatedEndpoint endpoint : fleet.endpoints()) {
            if (endpoint.spec().pool() == call.pool() && fleet.credits(endpoint) > 0) {
                double endpointPrice = fleet.prices().pricePerHour(endpoint.spec(), nowMs);
                double cached = prefixes.estimateCachedTokens(endpoint.id(), call.prefix(), nowMs);
                double endpointSavedShare = savedShare(call, endpoint.spec(), cached);
                if (endpointPrice * (1 - endpointSavedShare) < lowestEffectivePrice) {
                    lowestEffectivePrice = endpointPrice * (1 - endpointSavedShare);
                    price = endpointPrice;
                    saved = endpointSavedShare;
                }
            }
        }
        double spareShare =
                (double) fleet.credits(call.pool()) / Math.max(1, fleet.totalLimit(call.pool()));
        return new MarketSnapshot(
                price, lowerQuartilePrice, upperQuartilePrice, saved, Math.min(1, spareShare));
    }

    private static double savedShare(Call call, EndpointSpec spec, double cachedTokens) {
        double prefill = call.promptTokens() / spec.prefillTokensPerSecond();
        double decode = call.expectedOutputTokens() / spec.decodeTokensPerSecond();
        double saved = cachedTokens / spec.prefillTokensPerSecond();
        return saved / (prefill + decode / spec.warmConcurrency());
    }
}
