package org.cardamomthread.daemon.gateway;

import java.util.Objects;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;

/**
 * Says what a call is for and what its profile asks of it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param service the service
 * @param route the declared route
 * @param isModel whether the service is a model, which answers in tokens
 * @param isRepeatable whether the call may run more than once
 * @param traffic what the service's profile asks
 */
public record CallTarget(
        ServiceId service,
        RouteId route,
        boolean isModel,
        boolean isRepeatable,
        TrafficClass traffic) {

    /** Checks the parts. */
    public CallTarget {
        Objects.requireNonNull(service, "service must be given");
        Objects.requireNonNull(route, "route must be given");
        Objects.requireNonNull(traffic, "traffic must be given");
    }

    /** Returns the same target for work that waits behind callers. */
    CallTarget asPatient() {
        return new CallTarget(service, route, isModel, isRepeatable, traffic.asPatient());
    }
}
