package org.cardamomthread.policy.routing;

import java.util.Objects;
import org.cardamomthread.policy.profile.PriceClass;

/**
 * Holds the price of an endpoint's host and its risk of being reclaimed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param pricePerHour price of the host per hour, in the platform's currency, at least zero
 * @param priceClass price class of the host
 * @param reclaimsPerHour expected number of reclaims of the host per hour, at least zero
 */
public record EndpointPrice(double pricePerHour, PriceClass priceClass, double reclaimsPerHour) {

    /** Validates the components. */
    public EndpointPrice {
        Objects.requireNonNull(priceClass, "priceClass must not be null");
        if (!(pricePerHour >= 0) || !(reclaimsPerHour >= 0)) {
            throw new IllegalArgumentException(
                    "pricePerHour "
                            + pricePerHour
                            + " and reclaimsPerHour "
                            + reclaimsPerHour
                            + " must be 0 or more");
        }
    }
}
