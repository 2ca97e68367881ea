package org.cardamomthread.daemon.gateway;

import org.cardamomthread.membership.gateway.AvailableEndpoint;
import org.cardamomthread.policy.routing.EndpointPrice;

/** Provides the prices of endpoints. Thread-safe. */
public interface PriceBook {

    /**
     * Returns the price of an endpoint's host and how likely the host is to be reclaimed.
     *
     * @param endpoint the endpoint
     * @return the price, the price class and the reclaim rate
     */
    EndpointPrice priceOf(AvailableEndpoint endpoint);
}
