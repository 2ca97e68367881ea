package org.cardamomthread.policy.capacity;

import java.util.Map;
import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.policy.profile.PriceClass;

/**
 * Holds the capacity of a service that is present and needed.
 *
 * <p>Immutable and safe for use by several threads. Hosts that were noticed for reclaim or whose
 * data centre is being drained do not count as present.
 *
 * @param hosts hosts that serve or start, by kind
 * @param neededRequests requests that have to be borne together, with headroom, at least zero
 * @param drained data centres that get no new hosts
 * @param transfersPermitted weight transfers that the store permits now, at least zero
 */
public record FleetView(
        Map<HostOffer.Kind, Integer> hosts,
        int neededRequests,
        Set<DataCentreId> drained,
        int transfersPermitted) {

    /** Copies the parts and checks them. */
    public FleetView {
        hosts = Map.copyOf(hosts);
        drained = Set.copyOf(drained);
        if (neededRequests < 0 || transfersPermitted < 0) {
            throw new IllegalArgumentException(
                    "neededRequests "
                            + neededRequests
                            + " and transfersPermitted "
                            + transfersPermitted
                            + " must be 0 or more");
        }
    }

    int hosts(HostOffer.Kind kind) {
        return hosts.getOrDefault(kind, 0);
    }

    static boolean isReclaimable(HostOffer.Kind kind) {
        return kind.priceClass() == PriceClass.RECLAIMABLE;
    }
}
