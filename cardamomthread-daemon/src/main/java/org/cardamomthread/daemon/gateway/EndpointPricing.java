package org.cardamomthread.daemon.gateway;

import org.cardamomthread.membership.gateway.EndpointSnapshot;
import org.cardamomthread.policy.routing.EndpointPrice;

/** Provides the prices of endpoints. Thread-safe. */
public interface EndpointPricing {

    /**
     * Returns the price of an endpoint's host and how likely the host is to be reclaimed.
     *
     * @param endpoint the endpoint
     * @return the price, the price class and the reclaim rate
     */
    EndpointPrice getPrice(EndpointSnapshot endpoint);
}
