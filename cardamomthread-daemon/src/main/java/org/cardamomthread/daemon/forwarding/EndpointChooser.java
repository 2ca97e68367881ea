package org.cardamomthread.daemon.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.hash.RendezvousHash;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.PromptPart;
import org.cardamomthread.daemon.view.GatewayView;

/**
 * Chooses the endpoint of an attempt.
 *
 * <p>Requests with prompts go where the first token is expected soonest: by the prompt tokens that
 * wait there, the part of the prompt that was sent there before, and the latest unexpected waits.
 * Others go to the less loaded of two. Used by one thread at a time.
 */
final class EndpointChooser {

    /** Share of requests that a version on trial gets; half of the usual bound for bad versions. */
    private static final double TRIAL_SHARE = 0.05;

    /**
     * Share of the common parts of a prompt that the first endpoint in their order is taken to hold
     * from other gateways, which begin there too; the next one holds this share of it, and so on.
     */
    private static final double SHARED_BY_OTHERS = 0.7;

    /** Endpoints in the order of a prompt to which gateways turn first. */
    private static final int PREFERRED = 3;

    /**
     * Weight of reading common parts again: it holds up the prompts behind, and drives out others.
     */
    private static final double READ_AGAIN_WEIGHT = 2.0;

    /** Time that each running request adds to a first token, in milliseconds: part of a step. */
    private static final double RUNNING_MS = 1.0;

    /** Costs that differ by less count as alike, in milliseconds. */
    private static final double ALIKE_MS = 5;

    private final EndpointTable table;
    private final PromptSpeeds speeds;
    private final TimeSource timeSource;
    private final RandomGenerator random;

    EndpointChooser(
            EndpointTable table,
            PromptSpeeds speeds,
            TimeSource timeSource,
            RandomGenerator random) {
        this.table = table;
        this.speeds = speeds;
        this.timeSource = timeSource;
        this.random = random;
    }

    /**
     * Chooses an endpoint.
     *
     * @param request the request
     * @param tried endpoints that must not be taken again
     */
    Optional<EndpointChoice> choose(AdmittedRequest request, Set<EndpointId> tried) {
        long nowMs = timeSource.monotonicMs();
        GatewayView view = request.view();
        TrafficService service = request.service();
        List<EndpointState> usable = new ArrayList<>();
        List<EndpointState> avoided = new ArrayList<>();
        for (EndpointState state : selectVersion(view, service, listOpen(view, service, tried))) {
            (state.isAvoided(nowMs) ? avoided : usable).add(state);
        }
        List<EndpointState> candidates = usable.isEmpty() ? avoided : usable;
        while (!candidates.isEmpty()) {
            EndpointChoice chosen = pick(candidates, request, nowMs);
            EndpointState state = chosen.state();
            if (!state.isCold(nowMs) || mayUseCold(state, service, view, nowMs)) {
                return Optional.of(chosen);
            }
            candidates.remove(state);
        }
        return Optional.empty();
    }

    private static boolean mayUseCold(
            EndpointState state, TrafficService service, GatewayView view, long nowMs) {
        if (service.coldRequestsPerS() <= 0) {
            return true;
        }
        return view.gateways() > 0
                && state.tryTakeCold(service.coldRequestsPerS() / view.gateways(), nowMs);
    }

    private List<EndpointState> listOpen(
            GatewayView view, TrafficService service, Set<EndpointId> tried) {
        return table.of(service.id()).stream()
                .filter(state -> !state.endpoint().report().isLeaving())
                .filter(state -> !view.drained().contains(state.endpoint().report().dataCentre()))
                .filter(state -> !tried.contains(state.id()))
                .toList();
    }

    private List<EndpointState> selectVersion(
            GatewayView view, TrafficService service, List<EndpointState> open) {
        VersionMoveState move = view.moves().get(service.id());
        if (move == null) {
            return open;
        }
        List<EndpointState> target = filter(open, move, true);
        List<EndpointState> others = filter(open, move, false);
        return switch (move.getStage()) {
            case DONE -> target.isEmpty() ? others : target;
            case RUNNING -> {
                boolean isTrial =
                        !target.isEmpty()
                                && (others.isEmpty() || random.nextDouble() < TRIAL_SHARE);
                yield isTrial ? target : others;
            }
            case TAKEN_BACK -> others;
            default -> open;
        };
    }

    private static List<EndpointState> filter(
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

    private EndpointChoice pick(
            List<EndpointState> candidates, AdmittedRequest request, long nowMs) {
        Optional<String> affinity = request.affinity();
        int gateways = request.view().gateways();
        if (affinity.isEmpty()) {
            return EndpointChoice.ofPlain(pickOfTwo(candidates, gateways, nowMs));
        }
        Map<EndpointState, Double> heldByOthers = rank(affinity.get(), candidates);
        List<EndpointChoice> choices = new ArrayList<>(candidates.size());
        double leastCostMs = Double.MAX_VALUE;
        for (EndpointState state : candidates) {
            EndpointChoice choice =
                    forecast(state, heldByOthers.getOrDefault(state, 0.0), request, nowMs);
            choices.add(choice);
            leastCostMs = Math.min(leastCostMs, choice.costMs());
        }
        double mostMs = leastCostMs + ALIKE_MS;
        List<EndpointChoice> alike =
                choices.stream().filter(choice -> choice.costMs() <= mostMs).toList();
        return alike.get(random.nextInt(alike.size()));
    }

    /** Returns the share of the common parts that the first endpoints in their order hold. */
    private static Map<EndpointState, Double> rank(
            String affinity, List<EndpointState> candidates) {
        Map<EndpointState, Double> shares = new HashMap<>();
        List<EndpointState> rest = new ArrayList<>(candidates);
        double share = SHARED_BY_OTHERS;
        for (int i = 0; i < PREFERRED && !rest.isEmpty(); i++) {
            EndpointState next =
                    RendezvousHash.choose(affinity, rest, state -> state.id().value())
                            .orElseThrow();
            shares.put(next, share);
            rest.remove(next);
            share *= SHARED_BY_OTHERS;
        }
        return shares;
    }

    private EndpointChoice forecast(
            EndpointState state, double heldByOthers, AdmittedRequest request, long nowMs) {
        List<PromptPart> prompt = request.head().prompt();
        double held = state.cache().countHeld(prompt, nowMs);
        boolean isKnown = held > 0;
        if (!isKnown) {
            held = heldByOthers * countShared(prompt);
        }
        double tokens = Math.max(0, request.head().promptTokens() - held);
        double msPerToken = speeds.msPerToken(request.service().id());
        double delayMs = state.delayMs(nowMs);
        double expectedMs =
                (state.tokensToRead() + tokens) * msPerToken
                        + delayMs
                        + RUNNING_MS * state.estimateLoad(request.view().gateways(), nowMs);
        double readAgainMs = Math.max(0, countShared(prompt) - held) * msPerToken;
        return new EndpointChoice(
                state,
                tokens,
                expectedMs,
                delayMs,
                expectedMs + READ_AGAIN_WEIGHT * readAgainMs,
                isKnown);
    }

    private static int countShared(List<PromptPart> prompt) {
        return prompt.stream().limit(prompt.size() - 1).mapToInt(PromptPart::tokens).sum();
    }

    private EndpointState pickOfTwo(List<EndpointState> candidates, int gateways, long nowMs) {
        EndpointState first = candidates.get(random.nextInt(candidates.size()));
        EndpointState second = candidates.get(random.nextInt(candidates.size()));
        double firstLoad = first.estimateLoad(gateways, nowMs) / first.slots();
        double secondLoad = second.estimateLoad(gateways, nowMs) / second.slots();
        return firstLoad <= secondLoad ? first : second;
    }
}
