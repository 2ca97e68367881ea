package org.cardamomthread.daemon.gateway;

import org.cardamomthread.membership.gateway.AvailableEndpoint;
import org.cardamomthread.policy.routing.EndpointPrice;

/** Knows what endpoints cost. Safe for use by several threads. */
public interface PriceBook {

    /**
     * Returns what an endpoint's host costs and how likely it is to be reclaimed.
     *
     * @param endpoint the endpoint
     * @return the price
     */
    EndpointPrice priceOf(AvailableEndpoint endpoint);
}
