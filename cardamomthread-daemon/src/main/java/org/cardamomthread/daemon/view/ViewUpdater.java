package org.cardamomthread.daemon.view;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.view.generated.EndpointEntry;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.daemon.view.generated.ViewResponse;

/**
 * Builds a gateway's view up from the leader's answers.
 *
 * <p>Invariants: the traffic state moves only forward; endpoints of a leader that has just begun to
 * keep a register are added to those known, since it may not have heard of all of them yet. Used by
 * one thread at a time.
 */
public final class ViewUpdater {

    /** Time in which each living endpoint has reported to a new register, see the register. */
    static final long MERGE_PERIOD_MS = 4_000;

    private final PlatformDialect dialect;
    private final TimeSource timeSource;
    private GatewayView view = GatewayView.EMPTY;
    private String registryId = "";
    private long registryRevision;
    private final Map<EndpointId, Long> unconfirmedSinceMs = new HashMap<>();

    /**
     * Creates a follower with an empty view.
     *
     * @param dialect reads traffic documents
     * @param timeSource the clock
     */
    public ViewUpdater(PlatformDialect dialect, TimeSource timeSource) {
        this.dialect = dialect;
        this.timeSource = timeSource;
    }

    /**
     * Returns the view in force.
     *
     * @return the view
     */
    public GatewayView view() {
        return view;
    }

    /**
     * Adds to a request what the follower already has.
     *
     * @param request the request to complete
     */
    public void addKnownRevisions(ViewRequest.Builder request) {
        request.setStateRevision(view.revision())
                .setRegisterSource(registryId)
                .setRegisterRevision(registryRevision);
    }

    /**
     * Takes an answer in.
     *
     * @param response an answer without a refusal
     * @return false if the answer is older than the view
     * @throws MalformedMessageException if the document in it cannot be read
     */
    public boolean apply(ViewResponse response) throws MalformedMessageException {
        if (response.getStateRevision() < view.revision()) {
            return false;
        }
        Optional<RouteTable> routes = view.routes();
        Set<DataCentreId> drained = view.drainedDataCentres();
        Map<ServiceId, VersionMoveState> moves = view.versionMoves();
        if (response.hasState()) {
            TrafficState state = response.getState();
            routes = decodeRoutes(state);
            drained = decodeDrained(state);
            moves = decodeMoves(state);
        }
        int gateways = response.getGateways() > 0 ? response.getGateways() : view.gatewayCount();
        Map<ClientAccountId, Double> shares =
                response.getGateways() > 0 ? decodeShares(response) : view.quotaShares();
        view =
                new GatewayView(
                        response.getStateRevision(),
                        routes,
                        drained,
                        moves,
                        mergeEndpoints(response),
                        gateways,
                        shares);
        return true;
    }

    private Optional<RouteTable> decodeRoutes(TrafficState state) throws MalformedMessageException {
        long heldVersion = view.routes().map(table -> table.document().version()).orElse(0L);
        if (state.getDocumentVersion() == heldVersion) {
            return view.routes();
        }
        byte[] document = state.getDocument().toByteArray();
        return Optional.of(new RouteTable(dialect.decodeDocument(document)));
    }

    private Map<EndpointId, ViewedEndpoint> mergeEndpoints(ViewResponse response) {
        long nowMs = timeSource.monotonicMs();
        Map<EndpointId, ViewedEndpoint> endpoints = new HashMap<>(view.endpoints());
        if (response.getRegisterComplete()) {
            endpoints.keySet().forEach(id -> unconfirmedSinceMs.put(id, nowMs));
        }
        for (EndpointEntry entry : response.getEndpointsList()) {
            ViewedEndpoint endpoint =
                    new ViewedEndpoint(EndpointEntryCodec.decode(entry), nowMs + entry.getColdMs());
            EndpointId id = endpoint.report().id();
            ViewedEndpoint known = endpoints.get(id);
            if (known == null || known.report().startTimeMs() <= endpoint.report().startTimeMs()) {
                endpoints.put(id, endpoint);
            }
            unconfirmedSinceMs.remove(id);
        }
        response.getRemovedList().forEach(id -> endpoints.remove(new EndpointId(id)));
        unconfirmedSinceMs
                .entrySet()
                .removeIf(
                        unconfirmed -> {
                            boolean isExpired = nowMs - unconfirmed.getValue() > MERGE_PERIOD_MS;
                            if (isExpired) {
                                endpoints.remove(unconfirmed.getKey());
                            }
                            return isExpired;
                        });
        registryId = response.getRegisterSource();
        registryRevision = response.getRegisterRevision();
        return endpoints;
    }

    private static Set<DataCentreId> decodeDrained(TrafficState state) {
        Set<DataCentreId> drained = new HashSet<>();
        state.getDrainedDataCentresList().forEach(name -> drained.add(new DataCentreId(name)));
        return drained;
    }

    private static Map<ServiceId, VersionMoveState> decodeMoves(TrafficState state) {
        Map<ServiceId, VersionMoveState> moves = new HashMap<>();
        state.getMovesList().forEach(move -> moves.put(new ServiceId(move.getService()), move));
        return moves;
    }

    private static Map<ClientAccountId, Double> decodeShares(ViewResponse response) {
        Map<ClientAccountId, Double> shares = new HashMap<>();
        response.getSharesMap()
                .forEach((account, share) -> shares.put(new ClientAccountId(account), share));
        return shares;
    }
}
