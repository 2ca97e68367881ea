package org.cardamomthread.daemon.forwarding;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.ViewedEndpoint;

/** Keeps the state of each endpoint in the view. Used by one thread at a time. */
final class EndpointTable {

    private final Map<EndpointId, EndpointState> states = new HashMap<>();
    private final ForwardingLog log;

    EndpointTable(ForwardingLog log) {
        this.log = log;
    }

    void apply(GatewayView view) {
        for (EndpointState state : List.copyOf(states.values())) {
            if (!view.endpoints().containsKey(state.id())) {
                states.remove(state.id());
                log.logEndpointChange(state.endpoint(), false);
            }
        }
        view.endpoints().values().forEach(this::apply);
    }

    private void apply(ViewedEndpoint endpoint) {
        EndpointId id = endpoint.report().id();
        EndpointState known = states.get(id);
        boolean isSameStart =
                known != null
                        && known.endpoint().report().startTimeMs()
                                == endpoint.report().startTimeMs();
        boolean wasOpen = isSameStart && !known.endpoint().report().isDraining();
        if (isSameStart) {
            known.update(endpoint);
        } else {
            states.put(id, new EndpointState(endpoint));
        }
        boolean isOpen = !endpoint.report().isDraining();
        if (wasOpen != isOpen) {
            log.logEndpointChange(endpoint, isOpen);
        }
    }

    List<EndpointState> findByService(ServiceId service) {
        return states.values().stream()
                .filter(state -> state.endpoint().report().service().equals(service))
                .toList();
    }

    /** Returns the usual share of failures of a service: the median of its endpoints. */
    double medianFailureRate(ServiceId service) {
        double[] shares =
                findByService(service).stream().mapToDouble(EndpointState::failureRate).toArray();
        Arrays.sort(shares);
        return shares.length == 0 ? 0 : shares[shares.length / 2];
    }
}
