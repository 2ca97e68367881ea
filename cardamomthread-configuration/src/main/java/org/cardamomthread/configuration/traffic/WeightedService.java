package org.cardamomthread.configuration.traffic;

import java.util.Objects;
import org.cardamomthread.core.id.ServiceId;

/**
 * Holds the weight by which a service receives requests of a route. Immutable.
 *
 * @param service id of the service
 * @param weight weight relative to the other services of the route, not negative
 */
public record WeightedService(ServiceId service, double weight) {

    /** Validates the components. */
    public WeightedService {
        Objects.requireNonNull(service, "service must not be null");
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight " + weight + " must not be negative");
        }
    }
}
