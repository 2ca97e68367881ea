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

    void follow(GatewayView view) {
        for (EndpointState state : List.copyOf(states.values())) {
            if (!view.endpoints().containsKey(state.id())) {
                states.remove(state.id());
                log.logEndpoint(state.endpoint(), false);
            }
        }
        view.endpoints().values().forEach(this::follow);
    }

    private void follow(ViewedEndpoint endpoint) {
        EndpointId id = endpoint.report().id();
        EndpointState known = states.get(id);
        boolean isSameStart =
                known != null && known.endpoint().report().bornMs() == endpoint.report().bornMs();
        boolean wasOpen = isSameStart && !known.endpoint().report().isLeaving();
        if (isSameStart) {
            known.update(endpoint);
        } else {
            states.put(id, new EndpointState(endpoint));
        }
        boolean isOpen = !endpoint.report().isLeaving();
        if (wasOpen != isOpen) {
            log.logEndpoint(endpoint, isOpen);
        }
    }

    List<EndpointState> of(ServiceId service) {
        return states.values().stream()
                .filter(state -> state.endpoint().report().service().equals(service))
                .toList();
    }

    /** Returns the usual share of failures of a service: the median of its endpoints. */
    double usualFailureShare(ServiceId service) {
        double[] shares = of(service).stream().mapToDouble(EndpointState::failureShare).toArray();
        Arrays.sort(shares);
        return shares.length == 0 ? 0 : shares[shares.length / 2];
    }
}
