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
 * <p>Invariants: neither the revision of the traffic state nor the version of the document ever
 * decreases, and a document is applied as a whole or not at all. The endpoints of a new leader are
 * merged with those already known, since its registry may not have received a report from all of
 * them yet. Not thread-safe.
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
    private long newestDocumentVersion;
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
     * Applies a response to the view. The document that it names is applied by {@link
     * #applyDocument} when it has arrived.
     *
     * @param response a response that is not a refusal
     * @return false if the traffic state or the document that the response names is older than the
     *     view, which is then unchanged
     */
    public boolean apply(ViewResponse response) {
        if (response.getStateRevision() < view.revision()
                || response.hasState()
                        && response.getState().getDocumentVersion() < newestDocumentVersion) {
            return false;
        }
        Set<DataCentreId> drainedDataCentres = view.drainedDataCentres();
        Map<ServiceId, VersionMoveState> versionMoves = view.versionMoves();
        if (response.hasState()) {
            TrafficState state = response.getState();
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
                        view.routes(),
                        drainedDataCentres,
                        versionMoves,
                        mergeEndpoints(response),
                        gatewayCount,
                        quotaShares,
                        quarantine.apply(response));
        if (response.hasState()) {
            newestDocumentVersion = response.getState().getDocumentVersion();
        }
        return true;
    }

    /** Returns whether the view contains the document that the last response named. */
    boolean holdsNewestDocument() {
        return view.documentVersion() >= newestDocumentVersion;
    }

    /**
     * Returns the version of the document that the last response named: a response without the
     * traffic state confirms the revision of the view, and thereby its document.
     */
    long newestDocumentVersion() {
        return newestDocumentVersion;
    }

    /**
     * Applies a complete traffic document, unless the view contains it or a newer one.
     *
     * @param version the version under which the leader named it
     * @param document the document as the operator sent it
     * @throws MalformedMessageException if the document cannot be decoded or has another version;
     *     the view is then unchanged
     */
    void applyDocument(long version, byte[] document) throws MalformedMessageException {
        if (version <= view.documentVersion()) {
            return;
        }
        RouteTable routes = new RouteTable(dialect.decodeTrafficDocument(document));
        if (routes.document().version() != version) {
            throw new MalformedMessageException(
                    "the document has the version "
                            + routes.document().version()
                            + ", expected "
                            + version);
        }
        view = view.withRoutes(routes);
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
