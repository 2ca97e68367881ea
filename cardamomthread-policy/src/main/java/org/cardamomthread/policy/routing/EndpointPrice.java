package org.cardamomthread.policy.routing;

import java.util.Objects;
import org.cardamomthread.policy.profile.PriceClass;

/**
 * States what an endpoint's host costs and how likely it is to be reclaimed.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param pricePerHour price of the host, in the platform's currency an hour, at least zero
 * @param priceClass how the host is paid for
 * @param reclaimsPerHour expected reclaims of the host an hour, at least zero
 */
public record EndpointPrice(double pricePerHour, PriceClass priceClass, double reclaimsPerHour) {

    /** Checks the ranges. */
    public EndpointPrice {
        Objects.requireNonNull(priceClass, "priceClass must be given");
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
