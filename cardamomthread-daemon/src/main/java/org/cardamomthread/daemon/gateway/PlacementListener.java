package org.cardamomthread.daemon.gateway;

import org.cardamomthread.daemon.http.ProblemDetail;

/** Is notified of the result of a placement. Implementations must not block. */
interface PlacementListener {

    /**
     * Called when an endpoint was reserved.
     *
     * @param reservation the reservation, which the listener must release
     */
    void onPlaced(EndpointReservation reservation);

    /**
     * Called when no endpoint was found.
     *
     * @param problem the reason and the remedy
     */
    void onRefused(ProblemDetail problem);
}
