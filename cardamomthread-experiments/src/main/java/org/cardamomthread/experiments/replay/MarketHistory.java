package org.cardamomthread.experiments.replay;

import java.util.Arrays;
import org.cardamomthread.policy.admission.MarketView;

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

    MarketView view(ReplayFleet fleet, Call.Pool pool, long nowMs) {
        double cheapest = Double.POSITIVE_INFINITY;
        for (FakeEndpoint endpoint : fleet.endpoints()) {
            if (endpoint.spec().pool() == pool && fleet.credits(endpoint) > 0) {
                cheapest = Math.min(cheapest, fleet.prices().pricePerHour(endpoint.spec(), nowMs));
            }
        }
        double spare = (double) fleet.credits(pool) / Math.max(1, fleet.limits(pool));
        return new MarketView(cheapest, usualLowPrice, usualHighPrice, Math.min(1, spare));
    }
}
