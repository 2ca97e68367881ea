package org.cardamomthread.daemon.gateway;

import java.util.Objects;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;

/**
 * Identifies the service and route of a call and the requirements of its profile.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the called service
 * @param route the route that the call matched
 * @param isModel whether the service is a model, whose response consists of tokens
 * @param isRepeatable whether the call may be run more than once
 * @param traffic the latency, price and risk requirements of the service's profile
 */
public record CallTarget(
        ServiceId service,
        RouteId route,
        boolean isModel,
        boolean isRepeatable,
        TrafficClass traffic) {

    /** Checks that no component is null. */
    public CallTarget {
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(route, "route must not be null");
        Objects.requireNonNull(traffic, "traffic must not be null");
    }

    /** Returns a copy whose calls yield to urgent ones. */
    CallTarget withPatientPriority() {
        return new CallTarget(service, route, isModel, isRepeatable, traffic.withPatientPriority());
    }
}
