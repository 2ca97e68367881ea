package org.cardamomthread.daemon.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.core.hash.RendezvousHash;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.view.GatewayView;

/**
 * Selects the endpoint for an attempt.
 *
 * <p>Requests whose prompts share a part go to the same endpoint, selected by rendezvous hashing
 * with bounded loads, so that its prompt cache is used. Other requests go to the less loaded of two
 * random endpoints. Not thread-safe.
 */
final class ForwardingEndpointSelector {

    /**
     * Factor on the mean load, to which {@link #AFFINITY_LOAD_ALLOWANCE} is added; above the
     * result, the next endpoint in hash order is tried.
     */
    private static final double AFFINITY_LOAD_FACTOR = 1.25;

    /**
     * Number of requests added to the scaled mean load, so that low loads do not break affinity.
     */
    private static final double AFFINITY_LOAD_ALLOWANCE = 4;

    /** Number of endpoints tried in hash order before falling back to the least loaded one. */
    private static final int MAX_AFFINITY_CANDIDATES = 3;

    private final EndpointTable endpoints;
    private final VersionSelector versionSelector;
    private final TimeSource timeSource;
    private final RandomGenerator random;

    ForwardingEndpointSelector(
            EndpointTable endpoints,
            VersionSelector versionSelector,
            TimeSource timeSource,
            RandomGenerator random) {
        this.endpoints = endpoints;
        this.versionSelector = versionSelector;
        this.timeSource = timeSource;
        this.random = random;
    }

    /**
     * Selects an endpoint, or returns empty if none may take the request.
     *
     * @param service the service that the request is for
     * @param affinityKey the key of the shared prompt part, or empty to balance by load only
     * @param triedEndpoints endpoints that must not be selected again
     */
    Optional<TrackedEndpoint> select(
            TrafficService service, Optional<String> affinityKey, Set<EndpointId> triedEndpoints) {
        GatewayView view = endpoints.view();
        long nowMs = timeSource.monotonicMs();
        List<TrackedEndpoint> usable = new ArrayList<>();
        List<TrackedEndpoint> inBackoff = new ArrayList<>();
        for (TrackedEndpoint endpoint :
                versionSelector.select(
                        service.id(),
                        view.versionMoves().get(service.id()),
                        view.gatewayCount(),
                        listEligible(service, triedEndpoints, nowMs))) {
            (endpoint.isInBackoff(nowMs) ? inBackoff : usable).add(endpoint);
        }
        List<TrackedEndpoint> candidates = usable.isEmpty() ? inBackoff : usable;
        while (!candidates.isEmpty()) {
            TrackedEndpoint selected =
                    selectFrom(candidates, affinityKey, view.gatewayCount(), nowMs);
            if (!selected.isCold(nowMs) || tryAdmitToCold(selected, service, view, nowMs)) {
                return Optional.of(selected);
            }
            candidates.remove(selected);
        }
        return Optional.empty();
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

    private List<TrackedEndpoint> listEligible(
            TrafficService service, Set<EndpointId> triedEndpoints, long nowMs) {
        return endpoints.findByService(service.id()).stream()
                .filter(endpoint -> endpoints.assess(endpoint, nowMs).isAvailable())
                .filter(endpoint -> !triedEndpoints.contains(endpoint.id()))
                .toList();
    }

    private TrackedEndpoint selectFrom(
            List<TrackedEndpoint> candidates,
            Optional<String> affinityKey,
            int gatewayCount,
            long nowMs) {
        if (affinityKey.isEmpty()) {
            return selectLessLoadedOfTwo(candidates, gatewayCount, nowMs);
        }
        double meanLoad =
                candidates.stream()
                        .mapToDouble(endpoint -> endpoint.estimateLoad(gatewayCount, nowMs))
                        .average()
                        .orElse(0);
        double maxLoad = meanLoad * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_ALLOWANCE;
        List<TrackedEndpoint> remaining = new ArrayList<>(candidates);
        for (int i = 0; i < MAX_AFFINITY_CANDIDATES && !remaining.isEmpty(); i++) {
            TrackedEndpoint preferred =
                    RendezvousHash.choose(
                                    affinityKey.get(), remaining, endpoint -> endpoint.id().value())
                            .orElseThrow();
            if (preferred.estimateLoad(gatewayCount, nowMs) <= maxLoad) {
                return preferred;
            }
            remaining.remove(preferred);
        }
        return candidates.stream()
                .min(
                        Comparator.comparingDouble(
                                endpoint -> endpoint.estimateLoad(gatewayCount, nowMs)))
                .orElseThrow();
    }

    private TrackedEndpoint selectLessLoadedOfTwo(
            List<TrackedEndpoint> candidates, int gatewayCount, long nowMs) {
        TrackedEndpoint first = candidates.get(random.nextInt(candidates.size()));
        TrackedEndpoint second = candidates.get(random.nextInt(candidates.size()));
        double firstLoad = first.estimateLoad(gatewayCount, nowMs) / first.slots();
        double secondLoad = second.estimateLoad(gatewayCount, nowMs) / second.slots();
        return firstLoad <= secondLoad ? first : second;
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
