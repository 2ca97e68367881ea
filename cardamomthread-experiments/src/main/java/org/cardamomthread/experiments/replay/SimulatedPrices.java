package org.cardamomthread.experiments.replay;

import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.policy.profile.PriceClass;

/**
 * Simulates prices by data centre and price class; reclaimable prices follow a sine wave.
 * Immutable.
 */
final class SimulatedPrices {

    static final int DATA_CENTRES = 4;

    private static final double[] BASE_PRICES_PER_HOUR = {1.0, 1.5, 0.8, 2.0};
    private static final double ON_DEMAND_FACTOR = 2.5;
    private static final double APPLICATION_FACTOR = 0.2;
    private static final double PRICE_AMPLITUDE = 0.4;
    private static final double PRICE_PERIOD_MS = 1_200_000;

    private final double phase;

    SimulatedPrices(long seed) {
        this.phase = (seed % 17) / 17.0;
    }

    static DataCentreId dataCentre(int number) {
        return new DataCentreId("dc-" + number);
    }

    double pricePerHour(EndpointSpec spec, long nowMs) {
        double cycles = nowMs / PRICE_PERIOD_MS + phase + 0.25 * spec.dataCentre();
        double reclaimablePrice =
                BASE_PRICES_PER_HOUR[spec.dataCentre()]
                        * (1 + PRICE_AMPLITUDE * Math.sin(2 * Math.PI * cycles));
        double price =
                spec.priceClass() == PriceClass.ON_DEMAND
                        ? BASE_PRICES_PER_HOUR[spec.dataCentre()] * ON_DEMAND_FACTOR
                        : reclaimablePrice;
        return spec.pool() == Call.Pool.APPLICATION ? price * APPLICATION_FACTOR : price;
    }
}
