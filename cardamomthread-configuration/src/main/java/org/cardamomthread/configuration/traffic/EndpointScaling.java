package org.cardamomthread.configuration.traffic;

import java.util.Map;
import org.cardamomthread.core.id.DataCentreId;

/**
 * Declares the limits and prices of the endpoints that can be ordered for a service. Immutable.
 *
 * @param minPerDataCentre minimum number of endpoints per data centre
 * @param maxPerDataCentre maximum number of endpoints per data centre
 * @param startupMs time from ordering an endpoint to its first request, in milliseconds
 * @param reclaimablePriceShare price of a reclaimable endpoint as a fraction of the regular price
 * @param prices relative price of an endpoint, by data centre
 */
public record EndpointScaling(
        int minPerDataCentre,
        int maxPerDataCentre,
        long startupMs,
        double reclaimablePriceShare,
        Map<DataCentreId, Double> prices) {

    /** Makes an immutable copy of the prices. */
    public EndpointScaling {
        prices = Map.copyOf(prices);
    }
}
