package org.cardamomthread.policy.capacity;

import java.util.Map;
import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.policy.profile.PriceClass;

/**
 * Describes the present and the required capacity of a service.
 *
 * <p>Immutable and thread-safe. Hosts with a reclaim notice and hosts in a data centre that is
 * being drained are not included.
 *
 * @param hosts number of hosts that serve or start, by kind
 * @param requiredConcurrency number of concurrent requests to provide capacity for, including
 *     headroom, at least zero
 * @param drained data centres being drained, in which no hosts may be started
 * @param permittedTransfers number of transfers of model weights that the weight store permits now,
 *     at least zero
 */
public record FleetCapacity(
        Map<HostOffer.Kind, Integer> hosts,
        int requiredConcurrency,
        Set<DataCentreId> drained,
        int permittedTransfers) {

    /** Makes defensive copies and validates the components. */
    public FleetCapacity {
        hosts = Map.copyOf(hosts);
        drained = Set.copyOf(drained);
        if (requiredConcurrency < 0 || permittedTransfers < 0) {
            throw new IllegalArgumentException(
                    "requiredConcurrency "
                            + requiredConcurrency
                            + " and permittedTransfers "
                            + permittedTransfers
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
