package org.cardamomthread.configuration.traffic;

import java.util.Objects;
import java.util.Optional;
import org.cardamomthread.core.id.ServiceId;

/**
 * Describes a service that routes name. Immutable.
 *
 * @param id the service
 * @param healthPath path of its health check
 * @param maxConnections connections that one endpoint accepts from all callers together
 * @param coldRequestsPerS requests a second that a cold endpoint bears, 0 for no such limit
 * @param isModel whether its endpoints are model engines
 * @param scaling bounds for ordering endpoints, or empty if none are ordered
 */
public record TrafficService(
        ServiceId id,
        String healthPath,
        int maxConnections,
        double coldRequestsPerS,
        boolean isModel,
        Optional<EndpointScaling> scaling) {

    /** Checks the arguments. */
    public TrafficService {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(healthPath, "healthPath must not be null");
        Objects.requireNonNull(scaling, "scaling must not be null");
    }
}
