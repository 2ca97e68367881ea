package org.cardamomthread.daemon.forwarding;

import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.KnownEndpoint;
import org.cardamomthread.policy.availability.Availability;
import org.cardamomthread.policy.availability.EndpointAvailability;
import org.cardamomthread.policy.availability.EndpointAvailability.Incarnation;
import org.cardamomthread.policy.availability.EndpointAvailability.ReportedState;

/**
 * Tracks the local state of each endpoint in the view, and whether this gateway may send requests
 * to it. Not thread-safe.
 */
final class EndpointTable {

    private final Map<EndpointId, TrackedEndpoint> trackedEndpoints = new HashMap<>();
    private final EndpointAvailability availability = new EndpointAvailability();
    private final ForwardingLog log;
    private GatewayView view = GatewayView.EMPTY;

    EndpointTable(ForwardingLog log) {
        this.log = log;
    }

    /** Returns the view that was applied last. */
    GatewayView view() {
        return view;
    }

    void apply(GatewayView newView) {
        view = newView;
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

    /** Returns whether requests may be sent to an endpoint, by the view applied last. */
    Availability assess(TrackedEndpoint endpoint, long nowMs) {
        EndpointReport report = endpoint.knownEndpoint().report();
        ReportedState reported = ReportedState.ACCEPTING;
        if (report.isDraining()) {
            reported = ReportedState.DRAINING;
        } else if (view.drainedDataCentres().contains(report.dataCentre())) {
            reported = ReportedState.OUT_OF_SERVICE;
        }
        return availability.assess(incarnationOf(report), reported, nowMs);
    }

    /** Returns the same as {@link #assess} without allocating. */
    boolean isAvailable(TrackedEndpoint endpoint, long nowMs) {
        EndpointReport report = endpoint.knownEndpoint().report();
        return !report.isDraining()
                && !view.drainedDataCentres().contains(report.dataCentre())
                && availability.isAvailable(endpoint.incarnation(), nowMs);
    }

    /** Returns the endpoints of all services, without copying them. */
    Collection<TrackedEndpoint> all() {
        return Collections.unmodifiableCollection(trackedEndpoints.values());
    }

    /**
     * Returns the time until an endpoint of a service is available again, in milliseconds, or empty
     * if one is available or none is merely held back.
     */
    OptionalLong pauseMs(ServiceId service, long nowMs) {
        return Availability.pauseMs(
                findByService(service).stream().map(endpoint -> assess(endpoint, nowMs)).toList(),
                nowMs);
    }

    /** Records that an endpoint states that it leaves; returns false if that was known. */
    boolean recordLeaving(TrackedEndpoint endpoint, long nowMs) {
        return availability.recordLeaving(incarnationOf(endpoint.knownEndpoint().report()), nowMs);
    }

    /** Records that an endpoint wants no requests for the given time. */
    void recordPause(TrackedEndpoint endpoint, long pauseMs, long nowMs) {
        availability.recordPause(incarnationOf(endpoint.knownEndpoint().report()), pauseMs, nowMs);
    }

    /**
     * Returns the endpoints that have stated that they leave and that the view still holds as
     * accepting requests.
     */
    List<Incarnation> listUnreportedLeaving() {
        return availability.listLeaving().stream()
                .filter(
                        incarnation -> {
                            TrackedEndpoint tracked = trackedEndpoints.get(incarnation.endpoint());
                            return tracked != null
                                    && !tracked.knownEndpoint().report().isDraining()
                                    && incarnationOf(tracked.knownEndpoint().report())
                                            .equals(incarnation);
                        })
                .toList();
    }

    private static Incarnation incarnationOf(EndpointReport report) {
        return new Incarnation(report.id(), report.startTimeMs());
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
