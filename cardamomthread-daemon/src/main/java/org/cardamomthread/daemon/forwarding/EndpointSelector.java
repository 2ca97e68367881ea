package org.cardamomthread.daemon.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.hash.RendezvousHash;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.view.GatewayView;

/**
 * Chooses the endpoint of an attempt.
 *
 * <p>Requests whose prompts share parts go to the same endpoint, chosen by rendezvous hashing,
 * unless it holds clearly more than the others; requests without such parts go to the less loaded
 * of two. Used by one thread at a time.
 */
final class EndpointSelector {

    /** Share of requests that a version on trial gets; half of the usual bound for bad versions. */
    private static final double CANARY_TRAFFIC_FRACTION = 0.05;

    /** Load beyond the mean at which the next endpoint in the order of a prompt is taken. */
    private static final double AFFINITY_LOAD_FACTOR = 1.25;

    private static final double AFFINITY_LOAD_ALLOWANCE = 4;

    /** Endpoints in the order of a prompt that are tried before the least loaded of all. */
    private static final int MAX_AFFINITY_CANDIDATES = 3;

    private final EndpointTable endpoints;
    private final TimeSource timeSource;
    private final RandomGenerator random;

    EndpointSelector(EndpointTable table, TimeSource timeSource, RandomGenerator random) {
        this.endpoints = table;
        this.timeSource = timeSource;
        this.random = random;
    }

    /**
     * Chooses an endpoint.
     *
     * @param view the view in force
     * @param service the service
     * @param affinity names the shared part of the prompt, or empty
     * @param tried endpoints that must not be taken again
     */
    Optional<EndpointState> select(
            GatewayView view,
            TrafficService service,
            Optional<String> affinity,
            Set<EndpointId> tried) {
        long nowMs = timeSource.monotonicMs();
        List<EndpointState> usable = new ArrayList<>();
        List<EndpointState> avoided = new ArrayList<>();
        for (EndpointState state :
                selectVersion(view, service, listEligible(view, service, tried))) {
            (state.isInBackoff(nowMs) ? avoided : usable).add(state);
        }
        List<EndpointState> candidates = usable.isEmpty() ? avoided : usable;
        while (!candidates.isEmpty()) {
            EndpointState chosen = selectFrom(candidates, affinity, view.gatewayCount(), nowMs);
            if (!chosen.isCold(nowMs) || tryAdmitToCold(chosen, service, view, nowMs)) {
                return Optional.of(chosen);
            }
            candidates.remove(chosen);
        }
        return Optional.empty();
    }

    private static boolean tryAdmitToCold(
            EndpointState state, TrafficService service, GatewayView view, long nowMs) {
        if (service.coldRequestsPerS() <= 0) {
            return true;
        }
        return view.gatewayCount() > 0
                && state.tryTakeColdPermit(service.coldRequestsPerS() / view.gatewayCount(), nowMs);
    }

    private List<EndpointState> listEligible(
            GatewayView view, TrafficService service, Set<EndpointId> tried) {
        return endpoints.findByService(service.id()).stream()
                .filter(state -> !state.endpoint().report().isDraining())
                .filter(
                        state ->
                                !view.drainedDataCentres()
                                        .contains(state.endpoint().report().dataCentre()))
                .filter(state -> !tried.contains(state.id()))
                .toList();
    }

    private List<EndpointState> selectVersion(
            GatewayView view, TrafficService service, List<EndpointState> open) {
        VersionMoveState move = view.versionMoves().get(service.id());
        if (move == null) {
            return open;
        }
        List<EndpointState> target = filterByTargetVersion(open, move, true);
        List<EndpointState> others = filterByTargetVersion(open, move, false);
        return switch (move.getStage()) {
            case DONE -> target.isEmpty() ? others : target;
            case RUNNING -> {
                boolean isTrial =
                        !target.isEmpty()
                                && (others.isEmpty()
                                        || random.nextDouble() < CANARY_TRAFFIC_FRACTION);
                yield isTrial ? target : others;
            }
            case TAKEN_BACK -> others;
            default -> open;
        };
    }

    private static List<EndpointState> filterByTargetVersion(
            List<EndpointState> states, VersionMoveState move, boolean isTarget) {
        return states.stream()
                .filter(
                        state ->
                                isTarget
                                        == state.endpoint()
                                                .report()
                                                .version()
                                                .value()
                                                .equals(move.getTarget()))
                .toList();
    }

    private EndpointState selectFrom(
            List<EndpointState> candidates, Optional<String> affinity, int gateways, long nowMs) {
        if (affinity.isEmpty()) {
            return selectLessLoadedOfTwo(candidates, gateways, nowMs);
        }
        double mean =
                candidates.stream()
                        .mapToDouble(state -> state.estimateLoad(gateways, nowMs))
                        .average()
                        .orElse(0);
        double bound = mean * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_ALLOWANCE;
        List<EndpointState> rest = new ArrayList<>(candidates);
        for (int i = 0; i < MAX_AFFINITY_CANDIDATES && !rest.isEmpty(); i++) {
            EndpointState preferred =
                    RendezvousHash.choose(affinity.get(), rest, state -> state.id().value())
                            .orElseThrow();
            if (preferred.estimateLoad(gateways, nowMs) <= bound) {
                return preferred;
            }
            rest.remove(preferred);
        }
        return candidates.stream()
                .min(Comparator.comparingDouble(state -> state.estimateLoad(gateways, nowMs)))
                .orElseThrow();
    }

    private EndpointState selectLessLoadedOfTwo(
            List<EndpointState> candidates, int gateways, long nowMs) {
        EndpointState first = candidates.get(random.nextInt(candidates.size()));
        EndpointState second = candidates.get(random.nextInt(candidates.size()));
        double firstLoad = first.estimateLoad(gateways, nowMs) / first.slots();
        double secondLoad = second.estimateLoad(gateways, nowMs) / second.slots();
        return firstLoad <= secondLoad ? first : second;
    }
}
