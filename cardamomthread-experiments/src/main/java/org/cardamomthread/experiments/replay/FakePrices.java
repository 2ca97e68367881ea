package org.cardamomthread.experiments.replay;

import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.policy.profile.PriceClass;

/** Gives prices that differ by data centre and class and change with time. Immutable. */
final class FakePrices {

    static final int DATA_CENTRES = 4;

    private static final double[] BASE = {1.0, 1.5, 0.8, 2.0};
    private static final double ON_DEMAND_FACTOR = 2.5;
    private static final double APPLICATION_FACTOR = 0.2;
    private static final double SWING = 0.4;
    private static final double PERIOD_MS = 1_200_000;

    private final double phase;

    FakePrices(long seed) {
        this.phase = (seed % 17) / 17.0;
    }

    static DataCentreId dataCentre(int number) {
        return new DataCentreId("dc-" + number);
    }

    double pricePerHour(EndpointSpec spec, long nowMs) {
        double turn = nowMs / PERIOD_MS + phase + 0.25 * spec.dataCentre();
        double now = BASE[spec.dataCentre()] * (1 + SWING * Math.sin(2 * Math.PI * turn));
        double byClass =
                spec.priceClass() == PriceClass.ON_DEMAND
                        ? BASE[spec.dataCentre()] * ON_DEMAND_FACTOR
                        : now;
        return spec.pool() == Call.Pool.APPLICATION ? byClass * APPLICATION_FACTOR : byClass;
    }
}
