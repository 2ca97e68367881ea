package org.cardamomthread.daemon.forwarding;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.KnownEndpoint;

/** Tracks the local state of each endpoint in the view. Not thread-safe. */
final class EndpointTable {

    private final Map<EndpointId, TrackedEndpoint> trackedEndpoints = new HashMap<>();
    private final ForwardingLog log;

    EndpointTable(ForwardingLog log) {
        this.log = log;
    }

    void apply(GatewayView view) {
        for (TrackedEndpoint tracked : List.copyOf(trackedEndpoints.values())) {
            if (!view.endpoints().containsKey(tracked.id())) {
                trackedEndpoints.remove(tracked.id());
                log.logEndpointChange(tracked.knownEndpoint(), false);
            }
        }
        view.endpoints().values().forEach(this::apply);
    }

    private void apply(KnownEndpoint endpoint) {
        EndpointId id = endpoint.report().id();
        TrackedEndpoint existing = trackedEndpoints.get(id);
        boolean isSameStart =
                existing != null
                        && existing.knownEndpoint().report().startTimeMs()
                                == endpoint.report().startTimeMs();
        boolean wasAvailable = isSameStart && !existing.knownEndpoint().report().isDraining();
        if (isSameStart) {
            existing.update(endpoint);
        } else {
            trackedEndpoints.put(id, new TrackedEndpoint(endpoint));
        }
        boolean isAvailable = !endpoint.report().isDraining();
        if (wasAvailable != isAvailable) {
            log.logEndpointChange(endpoint, isAvailable);
        }
    }

    List<TrackedEndpoint> findByService(ServiceId service) {
        return trackedEndpoints.values().stream()
                .filter(tracked -> tracked.knownEndpoint().report().service().equals(service))
                .toList();
    }

    /** Returns the median failure rate of a service's endpoints, or 0 if it has none. */
    double medianFailureRate(ServiceId service) {
        double[] rates =
                findByService(service).stream().mapToDouble(TrackedEndpoint::failureRate).toArray();
        Arrays.sort(rates);
        return rates.length == 0 ? 0 : rates[rates.length / 2];
    }
}
