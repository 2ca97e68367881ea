package org.cardamomthread.daemon.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.membership.endpoint.Capability;
import org.cardamomthread.membership.gateway.CreditPool;
import org.cardamomthread.membership.gateway.EndpointSnapshot;
import org.cardamomthread.policy.routing.EndpointCandidate;
import org.cardamomthread.policy.routing.EndpointLoadReport;

/**
 * Creates selection candidates for one service and version from the endpoints in the credit pool.
 *
 * <p>The number of candidates is bounded by the number of home nodes from which a gateway obtains
 * credits. Thread-safe.
 */
final class CandidateProvider {

    private static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 2_000;
    private static final double DEFAULT_DECODE_TOKENS_PER_SECOND = 30;
    private static final double LOCAL_NETWORK_ROUND_TRIP_MS = 0.2;
    private static final double REMOTE_NETWORK_ROUND_TRIP_MS = 1.5;

    private final CreditPool pool;
    private final EndpointAvailabilityTracker availability;
    private final EndpointPricing pricing;
    private final DataCentreId ownDataCentre;

    CandidateProvider(
            CreditPool pool,
            EndpointAvailabilityTracker availability,
            EndpointPricing pricing,
            DataCentreId ownDataCentre) {
        this.pool = pool;
        this.availability = availability;
        this.pricing = pricing;
        this.ownDataCentre = ownDataCentre;
    }

    /** Holds the candidates of a request and the endpoint behind each of them. */
    record Candidates(
            List<EndpointCandidate> candidates, Map<EndpointId, EndpointSnapshot> endpoints) {}

    /**
     * Returns the endpoints that can serve a request.
     *
     * @param request the requirements of the attempt
     * @param version the version that the endpoint must serve
     * @return the candidates, including those for which this node holds no credit
     */
    Candidates findCandidates(PlacementRequest request, VersionId version) {
        List<EndpointCandidate> candidates = new ArrayList<>();
        Map<EndpointId, EndpointSnapshot> endpoints = new HashMap<>();
        for (EndpointSnapshot endpoint : pool.endpoints()) {
            if (availability.isAvailable(endpoint) && canServe(endpoint, request, version)) {
                candidates.add(createCandidate(endpoint, version));
                endpoints.put(endpoint.endpoint(), endpoint);
            }
        }
        return new Candidates(candidates, endpoints);
    }

    /**
     * Returns the time until an endpoint can take a request, in milliseconds, or empty unless all
     * that could have asked this node for a pause.
     */
    OptionalLong pauseMs(PlacementRequest request, VersionId version) {
        return availability.pauseMs(
                pool.endpoints().stream()
                        .filter(endpoint -> canServe(endpoint, request, version))
                        .toList());
    }

    private static boolean canServe(
            EndpointSnapshot endpoint, PlacementRequest request, VersionId version) {
        if (request.needsResume()
                && !endpoint.description().capabilities().contains(Capability.RESUME)) {
            return false;
        }
        return endpoint.description().services().stream()
                .anyMatch(
                        served ->
                                served.service().equals(request.target().service())
                                        && served.version().equals(version));
    }

    private EndpointCandidate createCandidate(EndpointSnapshot endpoint, VersionId version) {
        boolean isLocal = endpoint.dataCentre().equals(ownDataCentre);
        return new EndpointCandidate(
                endpoint.endpoint(),
                version,
                endpoint.dataCentre(),
                pricing.getPrice(endpoint),
                createLoadReport(endpoint),
                endpoint.unusedCredits(),
                Math.max(0, endpoint.startedSinceLoad()),
                0,
                isLocal ? LOCAL_NETWORK_ROUND_TRIP_MS : REMOTE_NETWORK_ROUND_TRIP_MS);
    }

    private static EndpointLoadReport createLoadReport(EndpointSnapshot endpoint) {
        var load = endpoint.load();
        double prefillTokensPerSecond = load.prefillTokensPerSecond();
        double decodeTokensPerSecond = load.decodeTokensPerSecond();
        return new EndpointLoadReport(
                endpoint.loadReceivedMs(),
                load.running(),
                load.queued(),
                Math.max(1, load.concurrencyLimit()),
                prefillTokensPerSecond > 0
                        ? prefillTokensPerSecond
                        : DEFAULT_PREFILL_TOKENS_PER_SECOND,
                decodeTokensPerSecond > 0
                        ? decodeTokensPerSecond
                        : DEFAULT_DECODE_TOKENS_PER_SECOND);
    }
}
