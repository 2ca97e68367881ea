package org.cardamomthread.experiments.replay;

import java.util.Arrays;
import org.cardamomthread.policy.admission.MarketView;
import org.cardamomthread.policy.routing.PrefixIndex;

/** Derives usual prices from those of the hour before. Immutable. */
final class MarketHistory {

    private static final long HOUR_MS = 3_600_000;
    private static final int SAMPLES = 120;

    private final double usualLowPrice;
    private final double usualHighPrice;

    MarketHistory(FakePrices prices, Workload workload) {
        double[] cheapest = new double[SAMPLES];
        for (int i = 0; i < SAMPLES; i++) {
            long atMs = -HOUR_MS + i * (HOUR_MS / SAMPLES);
            cheapest[i] =
                    workload.fleet().stream()
                            .filter(spec -> spec.pool() == Call.Pool.MODEL)
                            .mapToDouble(spec -> prices.pricePerHour(spec, atMs))
                            .min()
                            .orElseThrow();
        }
        Arrays.sort(cheapest);
        usualLowPrice = cheapest[SAMPLES / 4];
        usualHighPrice = cheapest[3 * SAMPLES / 4];
    }

    /** Returns the market for one call as its gateway sees it. */
    MarketView view(ReplayFleet fleet, CallState state, long nowMs) {
        Call call = state.call();
        PrefixIndex prefixes = fleet.gateway(state.gateway()).prefixes();
        double least = Double.POSITIVE_INFINITY;
        double price = Double.POSITIVE_INFINITY;
        double saved = 0;
        for (FakeEndpoint endpoint : fleet.endpoints()) {
            if (endpoint.spec().pool() == call.pool() && fleet.credits(endpoint) > 0) {
                double here = fleet.prices().pricePerHour(endpoint.spec(), nowMs);
                double cached = prefixes.cachedTokens(endpoint.id(), call.prefix(), nowMs);
                double savedHere = savedShare(call, endpoint.spec(), cached);
                if (here * (1 - savedHere) < least) {
                    least = here * (1 - savedHere);
                    price = here;
                    saved = savedHere;
                }
            }
        }
        double spare = (double) fleet.credits(call.pool()) / Math.max(1, fleet.limits(call.pool()));
        return new MarketView(price, usualLowPrice, usualHighPrice, saved, Math.min(1, spare));
    }

    private static double savedShare(Call call, EndpointSpec spec, double cachedTokens) {
        double prefill = call.promptTokens() / spec.prefillTokensPerSecond();
        double decode = call.expectedOutputTokens() / spec.decodeTokensPerSecond();
        double saved = cachedTokens / spec.prefillTokensPerSecond();
        return saved / (prefill + decode / spec.warmRequests());
    }
}
