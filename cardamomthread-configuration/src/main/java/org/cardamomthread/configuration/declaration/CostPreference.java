package org.cardamomthread.configuration.declaration;

import java.util.Objects;
import java.util.Optional;

/**
 * Declares how a profile weighs cost against latency.
 *
 * <p>Immutable and thread-safe.
 *
 * @param weight weight of the price relative to latency, 0 to 1
 * @param maxPricePerHour highest hourly price of a preferred endpoint, or empty for no limit
 */
public record CostPreference(double weight, Optional<Double> maxPricePerHour) {
    /** Validates the components. */
    public CostPreference {
        Objects.requireNonNull(maxPricePerHour, "maxPricePerHour must not be null");
    }
}
