package org.cardamomthread.configuration.traffic;

import java.util.Objects;
import org.cardamomthread.core.id.ServiceId;

/**
 * Holds the share of a route's requests that a service gets. Immutable.
 *
 * @param service the service
 * @param weight its share in proportion to the other weights of the route, not negative
 */
public record WeightedService(ServiceId service, double weight) {

    /** Checks the arguments. */
    public WeightedService {
        Objects.requireNonNull(service, "service must not be null");
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight " + weight + " must not be negative");
        }
    }
}
