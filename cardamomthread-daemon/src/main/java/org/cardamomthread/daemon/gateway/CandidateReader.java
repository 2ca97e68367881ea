package org.cardamomthread.daemon.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.membership.endpoint.Capability;
import org.cardamomthread.membership.gateway.AvailableEndpoint;
import org.cardamomthread.membership.gateway.CreditPool;
import org.cardamomthread.policy.routing.EndpointCandidate;
import org.cardamomthread.policy.routing.EndpointLoad;

/**
 * Turns the endpoints of which homes have told into candidates for one service and version.
 *
 * <p>The number of candidates is bounded by the homes that a gateway works with. Safe for use by
 * several threads.
 */
final class CandidateReader {

    private static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 2_000;
    private static final double DEFAULT_DECODE_TOKENS_PER_SECOND = 30;
    private static final double LOCAL_DELAY_MS = 0.2;
    private static final double REMOTE_DELAY_MS = 1.5;

    private final CreditPool pool;
    private final PriceBook prices;
    private final DataCentreId ownDataCentre;

    CandidateReader(CreditPool pool, PriceBook prices, DataCentreId ownDataCentre) {
        this.pool = pool;
        this.prices = prices;
        this.ownDataCentre = ownDataCentre;
    }

    /** Holds the candidates of a request and the endpoints that they stand for. */
    record Candidates(List<EndpointCandidate> list, Map<EndpointId, AvailableEndpoint> endpoints) {}

    /**
     * Reads the candidates of a request.
     *
     * @param request what the attempt needs
     * @param version the version that is to serve it
     * @return the candidates, those without a credit included
     */
    Candidates read(PlacementRequest request, VersionId version) {
        List<EndpointCandidate> list = new ArrayList<>();
        Map<EndpointId, AvailableEndpoint> endpoints = new HashMap<>();
        for (AvailableEndpoint endpoint : pool.endpoints()) {
            if (serves(endpoint, request, version)) {
                list.add(createCandidate(endpoint, version));
                endpoints.put(endpoint.endpoint(), endpoint);
            }
        }
        return new Candidates(list, endpoints);
    }

    private static boolean serves(
            AvailableEndpoint endpoint, PlacementRequest request, VersionId version) {
        if (request.needsResume()
                && !endpoint.description().capabilities().contains(Capability.RESUME)) {
            return false;
        }
        return endpoint.description().state().takesRequests()
                && endpoint.description().services().stream()
                        .anyMatch(
                                served ->
                                        served.service().equals(request.target().service())
                                                && served.version().equals(version));
    }

    private EndpointCandidate createCandidate(AvailableEndpoint endpoint, VersionId version) {
        boolean isLocal = endpoint.dataCentre().equals(ownDataCentre);
        return new EndpointCandidate(
                endpoint.endpoint(),
                version,
                endpoint.dataCentre(),
                prices.priceOf(endpoint),
                createLoad(endpoint),
                endpoint.freeCredits(),
                Math.max(0, endpoint.startedSinceLoad()),
                0,
                isLocal ? LOCAL_DELAY_MS : REMOTE_DELAY_MS);
    }

    private static EndpointLoad createLoad(AvailableEndpoint endpoint) {
        var load = endpoint.load();
        double prefill = load.prefillTokensPerSecond();
        double decode = load.decodeTokensPerSecond();
        return new EndpointLoad(
                endpoint.loadReceivedMs(),
                load.running(),
                load.queued(),
                Math.max(1, load.bearableRequests()),
                prefill > 0 ? prefill : DEFAULT_PREFILL_TOKENS_PER_SECOND,
                decode > 0 ? decode : DEFAULT_DECODE_TOKENS_PER_SECOND);
    }
}
