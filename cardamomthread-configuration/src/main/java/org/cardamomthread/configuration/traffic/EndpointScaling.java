package org.cardamomthread.configuration.traffic;

import java.util.Map;
import org.cardamomthread.core.id.DataCentreId;

/**
 * Bounds and prices of the endpoints that may be ordered for a service. Immutable.
 *
 * @param minPerDataCentre fewest endpoints in a data centre
 * @param maxPerDataCentre most endpoints in a data centre
 * @param startMs time from an order to the first request, in milliseconds
 * @param reclaimablePriceShare price of a reclaimable endpoint as a share of the usual price
 * @param prices relative price of an endpoint by data centre
 */
public record EndpointScaling(
        int minPerDataCentre,
        int maxPerDataCentre,
        long startMs,
        double reclaimablePriceShare,
        Map<DataCentreId, Double> prices) {

    /** Copies the prices. */
    public EndpointScaling {
        prices = Map.copyOf(prices);
    }
}
