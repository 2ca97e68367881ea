package org.cardamomthread.daemon.operator;

import java.util.List;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;

/**
 * Describes an endpoint.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the endpoint
 * @param dataCentre its data centre
 * @param home the node that is its home
 * @param state starting, ready, cold or leaving
 * @param priceClass reclaimable or on-demand
 * @param versions service and version of what it serves, such as chat:v1
 * @param inFlight requests in flight
 * @param concurrencyLimit requests that it bears now
 */
public record EndpointStatus(
        EndpointId id,
        DataCentreId dataCentre,
        NodeId home,
        String state,
        String priceClass,
        List<String> versions,
        int inFlight,
        int concurrencyLimit) {
    /** Copies the lists. */
    public EndpointStatus {
        versions = List.copyOf(versions);
    }
}
