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

    void follow(GatewayView view) {
        states.keySet().removeIf(id -> !view.endpoints().containsKey(id));
        for (ViewedEndpoint endpoint : view.endpoints().values()) {
            EndpointId id = endpoint.report().id();
            EndpointState known = states.get(id);
            boolean isSameStart =
                    known != null
                            && known.endpoint().report().bornMs() == endpoint.report().bornMs();
            if (isSameStart) {
                known.update(endpoint);
            } else {
                states.put(id, new EndpointState(endpoint));
            }
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
