package org.cardamomthread.daemon.gateway;

import org.cardamomthread.policy.routing.Selection;

/** Hears of choices. Implementations must not block. */
interface PlacementObserver {

    /**
     * Hears how a choice went.
     *
     * @param request what the attempt needs
     * @param selection the choice
     */
    void observe(PlacementRequest request, Selection selection);
}
