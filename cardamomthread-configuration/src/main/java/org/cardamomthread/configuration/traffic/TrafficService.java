package org.cardamomthread.configuration.traffic;

import java.util.Objects;
import java.util.Optional;
import org.cardamomthread.core.id.ServiceId;

/**
 * Describes a service that routes refer to. Immutable.
 *
 * @param id id of the service
 * @param healthPath path of the health check of its endpoints
 * @param maxConnectionsPerEndpoint maximum number of connections to one endpoint, over all callers
 * @param maxColdRequestsPerSecond maximum requests per second to a cold endpoint, 0 for no limit
 * @param isModel true if its endpoints are model engines
 * @param scaling limits and prices for ordering endpoints, or empty if none are ordered
 */
public record TrafficService(
        ServiceId id,
        String healthPath,
        int maxConnectionsPerEndpoint,
        double maxColdRequestsPerSecond,
        boolean isModel,
        Optional<EndpointScaling> scaling) {

    /** Validates the components. */
    public TrafficService {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(healthPath, "healthPath must not be null");
        Objects.requireNonNull(scaling, "scaling must not be null");
    }
}
