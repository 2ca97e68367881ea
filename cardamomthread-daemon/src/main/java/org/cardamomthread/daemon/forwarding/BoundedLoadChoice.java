package org.cardamomthread.daemon.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.hash.RendezvousHash;

/**
 * Selects an endpoint by load alone, without expected times.
 *
 * <p>Requests whose prompts share a part go to the same endpoint, selected by rendezvous hashing
 * with bounded loads, so that its prompt cache is used. Other requests go to the less loaded of two
 * random endpoints. Not thread-safe.
 */
final class BoundedLoadChoice {

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

    private final RandomGenerator random;

    BoundedLoadChoice(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Selects one of the candidates.
     *
     * @param candidates the endpoints that may take the request, one or more
     * @param affinityKey the key of the shared prompt part, or empty to balance by load only
     * @param gatewayCount the number of gateways, 0 if not known
     */
    TrackedEndpoint select(
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
}
