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
import org.cardamomthread.core.id.Identifiers;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.view.generated.EndpointEntry;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.daemon.view.generated.ViewResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains a gateway's view from the leader's responses.
 *
 * <p>Invariants: the revision of the traffic state never decreases. The endpoints of a new leader
 * are merged with those already known, since its registry may not have received a report from all
 * of them yet. Not thread-safe.
 */
public final class ViewUpdater {

    /**
     * Time within which every live endpoint has reported to a new leader's registry; endpoints that
     * the leader has not confirmed by then are dropped.
     */
    static final long MERGE_PERIOD_MS = 4_000;

    private static final Logger LOGGER = LoggerFactory.getLogger(ViewUpdater.class);

    private final PlatformDialect dialect;
    private final TimeSource timeSource;
    private GatewayView view = GatewayView.EMPTY;
    private String registryId = "";
    private long registryRevision;
    private final Map<EndpointId, Long> unconfirmedSinceMs = new HashMap<>();
    private final QuarantineUpdater quarantine;

    /**
     * Creates an updater with an empty view.
     *
     * @param dialect decodes traffic documents
     * @param timeSource supplies monotonic time
     */
    public ViewUpdater(PlatformDialect dialect, TimeSource timeSource) {
        this.dialect = dialect;
        this.timeSource = timeSource;
        quarantine = new QuarantineUpdater(timeSource);
    }

    /**
     * Returns the current view.
     *
     * @return the current view, empty until the first response
     */
    public GatewayView view() {
        return view;
    }

    /**
     * Adds the revisions that are already known to a request, so that the response contains only
     * changes.
     *
     * @param request the request to extend
     */
    public void addKnownRevisions(ViewRequest.Builder request) {
        request.setStateRevision(view.revision())
                .setRegisterSource(registryId)
                .setRegisterRevision(registryRevision);
        quarantine.addKnown(request);
    }

    /**
     * Applies a response to the view.
     *
     * @param response a response that is not a refusal
     * @return false if the traffic state in the response is older than the view, which is then
     *     unchanged
     * @throws MalformedMessageException if the traffic document in the response cannot be decoded
     */
    public boolean apply(ViewResponse response) throws MalformedMessageException {
        if (response.getStateRevision() < view.revision()) {
            return false;
        }
        Optional<RouteTable> routes = view.routes();
        Set<DataCentreId> drainedDataCentres = view.drainedDataCentres();
        Map<ServiceId, VersionMoveState> versionMoves = view.versionMoves();
        if (response.hasState()) {
            TrafficState state = response.getState();
            routes = decodeRoutes(state);
            drainedDataCentres = decodeDrained(state);
            versionMoves = decodeMoves(state);
        }
        int gatewayCount =
                response.getGateways() > 0 ? response.getGateways() : view.gatewayCount();
        Map<ClientAccountId, Double> quotaShares =
                response.getGateways() > 0 ? decodeShares(response) : view.quotaShares();
        view =
                new GatewayView(
                        response.getStateRevision(),
                        routes,
                        drainedDataCentres,
                        versionMoves,
                        mergeEndpoints(response),
                        gatewayCount,
                        quotaShares,
                        quarantine.apply(response));
        return true;
    }

    private Optional<RouteTable> decodeRoutes(TrafficState state) throws MalformedMessageException {
        long currentVersion = view.routes().map(table -> table.document().version()).orElse(0L);
        if (state.getDocumentVersion() == currentVersion) {
            return view.routes();
        }
        byte[] document = state.getDocument().toByteArray();
        return Optional.of(new RouteTable(dialect.decodeTrafficDocument(document)));
    }

    private Map<EndpointId, KnownEndpoint> mergeEndpoints(ViewResponse response) {
        long nowMs = timeSource.monotonicMs();
        Map<EndpointId, KnownEndpoint> endpoints = new HashMap<>(view.endpoints());
        if (response.getRegisterComplete()) {
            endpoints.keySet().forEach(id -> unconfirmedSinceMs.put(id, nowMs));
        }
        for (EndpointEntry entry : response.getEndpointsList()) {
            Optional<EndpointReport> report = decodeEndpoint(entry);
            if (report.isEmpty()) {
                continue;
            }
            KnownEndpoint endpoint = new KnownEndpoint(report.get(), nowMs + report.get().coldMs());
            EndpointId id = endpoint.report().id();
            KnownEndpoint existing = endpoints.get(id);
            if (existing == null
                    || existing.report().startTimeMs() <= endpoint.report().startTimeMs()) {
                endpoints.put(id, endpoint);
            }
            unconfirmedSinceMs.remove(id);
        }
        response.getRemovedList().stream()
                .filter(Identifiers::isValid)
                .forEach(id -> endpoints.remove(new EndpointId(id)));
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

    /** Decodes an entry, or returns empty if it is malformed: the other entries remain usable. */
    private static Optional<EndpointReport> decodeEndpoint(EndpointEntry entry) {
        try {
            return Optional.of(EndpointEntryCodec.decode(entry));
        } catch (MalformedMessageException e) {
            LOGGER.warn("ignored an endpoint in the view: {}", e.getMessage());
            return Optional.empty();
        }
    }

    private static Set<DataCentreId> decodeDrained(TrafficState state) {
        Set<DataCentreId> drainedDataCentres = new HashSet<>();
        state.getDrainedDataCentresList()
                .forEach(name -> drainedDataCentres.add(new DataCentreId(name)));
        return drainedDataCentres;
    }

    private static Map<ServiceId, VersionMoveState> decodeMoves(TrafficState state) {
        Map<ServiceId, VersionMoveState> versionMoves = new HashMap<>();
        state.getMovesList()
                .forEach(move -> versionMoves.put(new ServiceId(move.getService()), move));
        return versionMoves;
    }

    private static Map<ClientAccountId, Double> decodeShares(ViewResponse response) {
        Map<ClientAccountId, Double> quotaShares = new HashMap<>();
        response.getSharesMap()
                .forEach((account, share) -> quotaShares.put(new ClientAccountId(account), share));
        return quotaShares;
    }
}
