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
import org.cardamomthread.policy.quarantine.PromptPartKey;

/**
 * Holds the data by which a gateway routes and admits requests at one moment. Immutable.
 *
 * <p>While a document is transferred, the drained data centres and the version moves may be newer
 * than the document, but never older.
 *
 * @param revision the revision of the drained data centres and the version moves, 0 before the
 *     first one
 * @param routes the newest traffic document that has arrived completely, empty before the first one
 * @param drainedDataCentres the data centres that are out of service
 * @param versionMoves the latest version move of each service
 * @param endpoints the known endpoints, including draining ones
 * @param gatewayCount the number of gateways that share the quotas, 0 if not known yet
 * @param quotaShares this gateway's share of each account's quota, from 0 to 1
 * @param recordedParts the prompt parts with which endpoints were lost
 */
public record GatewayView(
        long revision,
        Optional<RouteTable> routes,
        Set<DataCentreId> drainedDataCentres,
        Map<ServiceId, VersionMoveState> versionMoves,
        Map<EndpointId, KnownEndpoint> endpoints,
        int gatewayCount,
        Map<ClientAccountId, Double> quotaShares,
        Map<PromptPartKey, KnownQuarantine> recordedParts) {

    /** The view of a gateway that has not received a response yet. */
    public static final GatewayView EMPTY =
            new GatewayView(
                    0, Optional.empty(), Set.of(), Map.of(), Map.of(), 0, Map.of(), Map.of());

    /** Creates a view with copies of the collections. */
    public GatewayView {
        drainedDataCentres = Set.copyOf(drainedDataCentres);
        versionMoves = Map.copyOf(versionMoves);
        endpoints = Map.copyOf(endpoints);
        quotaShares = Map.copyOf(quotaShares);
        recordedParts = Map.copyOf(recordedParts);
    }

    /** Returns this view with another traffic document. */
    GatewayView withRoutes(RouteTable newRoutes) {
        return new GatewayView(
                revision,
                Optional.of(newRoutes),
                drainedDataCentres,
                versionMoves,
                endpoints,
                gatewayCount,
                quotaShares,
                recordedParts);
    }

    /** Returns the version of the traffic document, 0 before the first one. */
    long documentVersion() {
        return routes.map(table -> table.document().version()).orElse(0L);
    }

    /**
     * Returns the endpoints of a service.
     *
     * @param service the service
     * @return its endpoints, in no particular order
     */
    public List<KnownEndpoint> endpointsOf(ServiceId service) {
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.report().service().equals(service))
                .toList();
    }
}
