package org.cardamomthread.daemon.gateway;

import org.cardamomthread.daemon.http.Problem;

/** Hears the result of a wait for an endpoint. Implementations must not block. */
interface PlacementListener {

    /**
     * Receives an endpoint; the receiver must release it.
     *
     * @param placed the endpoint with the permission to send it one request
     */
    void onPlaced(PlacedCall placed);

    /**
     * Hears that no endpoint was found.
     *
     * @param problem why, with the remedy
     */
    void onRefused(Problem problem);
}
