package org.cardamomthread.daemon.operator;

import java.util.List;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;

/**
 * The status of an endpoint, as shown to operators.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the endpoint
 * @param dataCentre its data centre
 * @param home the node that is home to the endpoint
 * @param state {@code starting}, {@code ready}, {@code cold} or {@code leaving}
 * @param priceClass {@code reclaimable} or {@code on-demand}
 * @param versions the services and versions that it serves, such as {@code chat:v1}
 * @param inFlight the number of requests in flight
 * @param concurrencyLimit the maximum number of concurrent requests that it can take now
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
    /** Copies the list of versions. */
    public EndpointStatus {
        versions = List.copyOf(versions);
    }
}
