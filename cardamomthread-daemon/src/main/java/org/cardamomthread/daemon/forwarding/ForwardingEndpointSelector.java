package org.cardamomthread.daemon.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.PromptPart;
import org.cardamomthread.daemon.telemetry.ForwardingMetrics;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.policy.placement.DataCentreMargin;
import org.cardamomthread.policy.placement.EndpointPlacement;
import org.cardamomthread.policy.placement.PlacementDecision;
import org.cardamomthread.policy.placement.PlacementRequest;
import org.cardamomthread.policy.placement.PromptChain;
import org.cardamomthread.policy.placement.RecentPrompts;
import org.cardamomthread.policy.placement.SentRequest;
import org.cardamomthread.policy.placement.ServicePace;
import org.cardamomthread.policy.placement.ServicePace.Candidate;

/**
 * Selects the endpoint for an attempt by the expected time to the first token.
 *
 * <p>Endpoints that are not available, not of the selected version, in back-off or without a permit
 * for a cold endpoint are left out before the times are compared. Unless endpoints of the service
 * report how long work takes on their hosts, as those of shared hosts do, {@link BoundedLoadChoice}
 * selects. Not thread-safe.
 */
final class ForwardingEndpointSelector {

    /**
     * Prompt tokens above which a request counts as having so many. Callers state the number; one
     * of billions would make the endpoint that serves it look infinitely fast for minutes.
     */
    private static final long MAX_PROMPT_TOKENS = 131_072;

    private final EndpointTable endpoints;
    private final VersionSelector versionSelector;
    private final TimeSource timeSource;
    private final DataCentreId dataCentre;
    private final DataCentreMargin margin;
    private final ForwardingLog log;
    private final ForwardingMetrics metrics;
    private final EndpointPlacement placement;
    private final BoundedLoadChoice boundedLoadChoice;
    private final RecentPrompts recentPrompts = new RecentPrompts();
    private final Map<ServiceId, ServicePace> paceByService = new HashMap<>();

    /**
     * Creates a selector.
     *
     * @param endpoints the state of the endpoints
     * @param versionSelector selects the version during a version move
     * @param timeSource supplies monotonic time
     * @param random draws the endpoints that are compared
     * @param dataCentre the data centre of this gateway
     * @param margin determines when another data centre is preferred
     * @param log receives an entry for each choice
     * @param metrics receives the counts of requests sent
     */
    ForwardingEndpointSelector(
            EndpointTable endpoints,
            VersionSelector versionSelector,
            TimeSource timeSource,
            RandomGenerator random,
            DataCentreId dataCentre,
            DataCentreMargin margin,
            ForwardingLog log,
            ForwardingMetrics metrics) {
        this.endpoints = endpoints;
        this.versionSelector = versionSelector;
        this.timeSource = timeSource;
        this.dataCentre = dataCentre;
        this.margin = margin;
        this.log = log;
        this.metrics = metrics;
        placement = new EndpointPlacement(random);
        boundedLoadChoice = new BoundedLoadChoice(random);
    }

    /**
     * Selects an endpoint, or returns empty if none may take the request.
     *
     * @param request the request
     * @param affinityKey the key of the shared prompt part, or empty to disregard caches
     * @param triedEndpoints endpoints that must not be selected again
     */
    Optional<TrackedEndpoint> select(
            AdmittedRequest request, Optional<String> affinityKey, Set<EndpointId> triedEndpoints) {
        TrafficService service = request.service();
        GatewayView view = endpoints.view();
        long nowMs = timeSource.monotonicMs();
        List<TrackedEndpoint> ofService = endpoints.findByService(service.id());
        List<TrackedEndpoint> candidates =
                listCandidates(service, ofService, triedEndpoints, view, nowMs);
        ServicePace pace = paceOf(service.id());
        pace.refresh(ofService, this::isLocal, nowMs);
        PlacementRequest placementRequest =
                pace.hasWorkTimes() ? describe(request, affinityKey, nowMs) : null;
        while (!candidates.isEmpty()) {
            TrackedEndpoint selected;
            PlacementDecision decision = null;
            if (placementRequest == null) {
                selected =
                        boundedLoadChoice.select(
                                candidates, affinityKey, view.gatewayCount(), nowMs);
            } else {
                decision =
                        placement.choose(
                                candidates,
                                this::isLocal,
                                placementRequest,
                                pace,
                                view.gatewayCount(),
                                nowMs);
                selected =
                        preferKeeperOfSharedPrompt(
                                candidates, affinityKey, decision, placementRequest, nowMs);
            }
            if (!selected.isCold(nowMs) || tryAdmitToCold(selected, service, view, nowMs)) {
                logPlacement(request, candidates, selected, decision);
                return Optional.of(selected);
            }
            candidates.remove(selected);
        }
        return Optional.empty();
    }

    /**
     * Returns the endpoint that all gateways prefer for a shared prompt, in whichever data centre
     * it is, unless it is expected to be too slow: a part that is read again costs far more than a
     * round trip.
     */
    private TrackedEndpoint preferKeeperOfSharedPrompt(
            List<TrackedEndpoint> candidates,
            Optional<String> affinityKey,
            PlacementDecision decision,
            PlacementRequest placementRequest,
            long nowMs) {
        if (affinityKey.isPresent()) {
            TrackedEndpoint keeper =
                    boundedLoadChoice.select(
                            candidates, affinityKey, endpoints.view().gatewayCount(), nowMs);
            if (placement.isFastEnoughForSharedPrompt(
                    candidates.indexOf(keeper), decision, placementRequest)) {
                return keeper;
            }
        }
        return candidates.get(decision.index());
    }

    private void logPlacement(
            AdmittedRequest request,
            List<TrackedEndpoint> candidates,
            TrackedEndpoint selected,
            PlacementDecision decision) {
        if (decision == null) {
            return;
        }
        boolean hasLocal = decision.bestLocalIndex() >= 0;
        log.logPlacement(
                request,
                selected.id(),
                decision,
                hasLocal ? candidates.get(decision.bestLocalIndex()).id() : null);
    }

    /**
     * Records that a request is sent to an endpoint.
     *
     * @return the request, to be told of its first token and its end
     */
    SentRequest recordSend(AdmittedRequest request, TrackedEndpoint endpoint) {
        long nowMs = timeSource.monotonicMs();
        PromptChain prompt = promptOf(request);
        SentRequest sent =
                SentRequest.send(
                        endpoint,
                        paceOf(request.service().id()),
                        isLocal(endpoint),
                        endpoints.view().gatewayCount(),
                        promptTokensOf(request),
                        recentPrompts.find(prompt, nowMs).at(endpoint.load()),
                        nowMs);
        recentPrompts.record(prompt, endpoint.load(), nowMs);
        endpoint.recordStart();
        metrics.countSend(request.service().id(), isLocal(endpoint));
        return sent;
    }

    private PlacementRequest describe(
            AdmittedRequest request, Optional<String> affinityKey, long nowMs) {
        long objectiveMs = request.route().latencyTargetMs();
        RecentPrompts.CachedTokens cachedTokens =
                affinityKey.isPresent()
                        ? recentPrompts.find(promptOf(request), nowMs)
                        : RecentPrompts.CachedTokens.NONE;
        return new PlacementRequest(
                promptTokensOf(request),
                affinityKey,
                cachedTokens,
                DataCentreMargin.toleranceMs(objectiveMs),
                margin.marginMs(objectiveMs));
    }

    private static long promptTokensOf(AdmittedRequest request) {
        return request.service().isModel()
                ? Math.min(MAX_PROMPT_TOKENS, request.head().promptTokens())
                : 0;
    }

    private static PromptChain promptOf(AdmittedRequest request) {
        List<PromptPart> parts =
                request.service().isModel() ? request.head().promptParts() : List.of();
        PromptChain prompt = new PromptChain(parts.size());
        for (int i = 0; i < parts.size(); i++) {
            prompt.add(parts.get(i).id(), parts.get(i).tokens());
        }
        return prompt;
    }

    private ServicePace paceOf(ServiceId service) {
        return paceByService.computeIfAbsent(service, id -> new ServicePace());
    }

    private boolean isLocal(Candidate candidate) {
        TrackedEndpoint endpoint = (TrackedEndpoint) candidate;
        return endpoint.knownEndpoint().report().dataCentre().equals(dataCentre);
    }

    private static boolean tryAdmitToCold(
            TrackedEndpoint endpoint, TrafficService service, GatewayView view, long nowMs) {
        if (service.maxColdRequestsPerSecond() <= 0) {
            return true;
        }
        return view.gatewayCount() > 0
                && endpoint.tryAcquireColdPermit(
                        service.maxColdRequestsPerSecond() / view.gatewayCount(), nowMs);
    }

    private List<TrackedEndpoint> listCandidates(
            TrafficService service,
            List<TrackedEndpoint> ofService,
            Set<EndpointId> triedEndpoints,
            GatewayView view,
            long nowMs) {
        List<TrackedEndpoint> eligible = new ArrayList<>(ofService.size());
        for (TrackedEndpoint endpoint : ofService) {
            if (endpoints.isAvailable(endpoint, nowMs) && !triedEndpoints.contains(endpoint.id())) {
                eligible.add(endpoint);
            }
        }
        List<TrackedEndpoint> ofVersion =
                versionSelector.select(
                        service.id(),
                        view.versionMoves().get(service.id()),
                        view.gatewayCount(),
                        eligible);
        List<TrackedEndpoint> usable = new ArrayList<>(ofVersion.size());
        List<TrackedEndpoint> inBackoff = new ArrayList<>();
        for (TrackedEndpoint endpoint : ofVersion) {
            if (lacksColdPermit(endpoint, service.id(), nowMs)) {
                continue;
            }
            (endpoint.isInBackoff(nowMs) ? inBackoff : usable).add(endpoint);
        }
        return usable.isEmpty() ? inBackoff : usable;
    }

    /**
     * Returns whether a request need not wait: false only if all endpoints that may be sent
     * requests are known to be full, or are cold ones without a permit left. Endpoints in backoff
     * count only if there are no others. Allocates nothing per endpoint.
     *
     * @param service the service that the request is for
     * @param nowMs monotonic time, in milliseconds
     */
    boolean hasRoom(ServiceId service, long nowMs) {
        boolean isOneFull = false;
        for (TrackedEndpoint endpoint : endpoints.all()) {
            if (!endpoint.knownEndpoint().report().service().equals(service)) {
                continue;
            }
            boolean isFull = endpoint.isKnownFull(nowMs);
            if (isFull && isOneFull
                    || endpoint.isInBackoff(nowMs)
                    || !endpoints.isAvailable(endpoint, nowMs)) {
                continue;
            }
            if (!isFull && !lacksColdPermit(endpoint, service, nowMs)) {
                return true;
            }
            isOneFull = true;
        }
        return !isOneFull;
    }

    private boolean lacksColdPermit(TrackedEndpoint endpoint, ServiceId service, long nowMs) {
        GatewayView view = endpoints.view();
        if (!endpoint.isCold(nowMs) || view.gatewayCount() <= 0) {
            return false;
        }
        double ratePerS =
                view.routes()
                        .flatMap(routes -> routes.findService(service))
                        .map(TrafficService::maxColdRequestsPerSecond)
                        .orElse(0.0);
        return ratePerS > 0 && !endpoint.hasColdPermit(ratePerS / view.gatewayCount(), nowMs);
    }
}
