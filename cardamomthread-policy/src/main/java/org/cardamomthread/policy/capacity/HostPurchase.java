package org.cardamomthread.policy.capacity;

import java.util.List;

/** Decides which hosts are started and released. */
public interface HostPurchase {

    /**
     * Decides from the present fleet.
     *
     * @param fleet present and needed capacity
     * @param offers kinds that the platform sells, with present prices
     * @param nowMs monotonic time, in milliseconds
     * @return hosts to start and to release
     */
    PurchaseDecision decide(FleetView fleet, List<HostOffer> offers, long nowMs);
}
