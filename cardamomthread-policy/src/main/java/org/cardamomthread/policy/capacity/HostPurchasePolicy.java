package org.cardamomthread.policy.capacity;

import java.util.List;

/** Decides which hosts to start and to release. */
public interface HostPurchasePolicy {

    /**
     * Decides which hosts to start and to release for one service.
     *
     * @param fleet present and required capacity
     * @param offers kinds of host that the platform offers, with their current prices
     * @param nowMs monotonic time, in milliseconds
     * @return hosts to start and to release
     */
    PurchaseDecision decide(FleetCapacity fleet, List<HostOffer> offers, long nowMs);
}
