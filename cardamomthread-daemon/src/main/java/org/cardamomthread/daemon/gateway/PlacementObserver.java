package org.cardamomthread.daemon.gateway;

import org.cardamomthread.policy.routing.Selection;

/** Is notified of placement decisions. Implementations must not block. */
interface PlacementObserver {

    /**
     * Called after each selection, whether or not it found an endpoint.
     *
     * @param request the requirements of the attempt
     * @param selection the selected endpoint, or the reason why there is none
     */
    void observe(PlacementRequest request, Selection selection);
}
