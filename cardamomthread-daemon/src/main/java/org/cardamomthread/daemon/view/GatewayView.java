package org.cardamomthread.daemon.view;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;

/**
 * Holds what a gateway serves by at one moment. Immutable.
 *
 * @param revision the revision of the traffic state, 0 before the first
 * @param routes the document in force, empty before the first
 * @param drainedDataCentres the data centres out of service
 * @param versionMoves the latest version move of each service
 * @param endpoints the endpoints that may be known
 * @param gatewayCount gateways that share limits, 0 if not known yet
 * @param quotaShares this gateway's shares of quotas, from 0 to 1
 */
public record GatewayView(
        long revision,
        Optional<RouteTable> routes,
        Set<DataCentreId> drainedDataCentres,
        Map<ServiceId, VersionMoveState> versionMoves,
        Map<EndpointId, ViewedEndpoint> endpoints,
        int gatewayCount,
        Map<ClientAccountId, Double> quotaShares) {

    /** The view of a gateway that has heard nothing yet. */
    public static final GatewayView EMPTY =
            new GatewayView(0, Optional.empty(), Set.of(), Map.of(), Map.of(), 0, Map.of());

    /** Copies the collections. */
    public GatewayView {
        drainedDataCentres = Set.copyOf(drainedDataCentres);
        versionMoves = Map.copyOf(versionMoves);
        endpoints = Map.copyOf(endpoints);
        quotaShares = Map.copyOf(quotaShares);
    }

    /**
     * Lists the endpoints of a service.
     *
     * @param service the service
     * @return its endpoints, in no order
     */
    public List<ViewedEndpoint> endpointsOf(ServiceId service) {
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.report().service().equals(service))
                .toList();
    }
}
