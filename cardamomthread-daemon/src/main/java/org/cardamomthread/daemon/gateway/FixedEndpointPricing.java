package org.cardamomthread.daemon.gateway;

import org.cardamomthread.membership.endpoint.PriceClass;
import org.cardamomthread.membership.gateway.EndpointSnapshot;
import org.cardamomthread.policy.routing.EndpointPrice;

/**
 * Returns fixed prices and reclaim rates for reclaimable and on-demand hosts. Used where the
 * platform reports no prices.
 *
 * <p>Stateless and thread-safe.
 */
public final class FixedEndpointPricing implements EndpointPricing {

    private static final double RECLAIMABLE_PRICE_PER_HOUR = 1.0;
    private static final double ON_DEMAND_PRICE_PER_HOUR = 3.0;
    private static final double RECLAIM_RATE_PER_HOUR = 0.1;

    private static final EndpointPrice RECLAIMABLE =
            new EndpointPrice(
                    RECLAIMABLE_PRICE_PER_HOUR,
                    org.cardamomthread.policy.profile.PriceClass.RECLAIMABLE,
                    RECLAIM_RATE_PER_HOUR);
    private static final EndpointPrice ON_DEMAND =
            new EndpointPrice(
                    ON_DEMAND_PRICE_PER_HOUR,
                    org.cardamomthread.policy.profile.PriceClass.ON_DEMAND,
                    0);

    @Override
    public EndpointPrice getPrice(EndpointSnapshot endpoint) {
        boolean isReclaimable = endpoint.description().priceClass() == PriceClass.RECLAIMABLE;
        return isReclaimable ? RECLAIMABLE : ON_DEMAND;
    }
}
