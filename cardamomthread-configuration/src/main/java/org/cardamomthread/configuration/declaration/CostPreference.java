package org.cardamomthread.configuration.declaration;

import java.util.Objects;
import java.util.Optional;

/**
 * States what a kind of traffic may cost.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param weight weight of price against latency, 0 to 1
 * @param maxPricePerHour highest price of an endpoint that is preferred, or empty for no bound
 */
public record CostPreference(double weight, Optional<Double> maxPricePerHour) {
    /** Checks the arguments. */
    public CostPreference {
        Objects.requireNonNull(maxPricePerHour, "maxPricePerHour must not be null");
    }
}
