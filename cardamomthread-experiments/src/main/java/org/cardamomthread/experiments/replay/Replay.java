package org.cardamomthread.experiments.replay;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.admission.AdmissionRefusal;
import org.cardamomthread.policy.admission.PatientJob;
import org.cardamomthread.policy.admission.PatientRelease;
import org.cardamomthread.policy.admission.QueuedRequest;
import org.cardamomthread.policy.admission.WeightedFairQueue;
import org.cardamomthread.policy.profile.Priority;
import org.cardamomthread.policy.routing.EndpointCandidate;
import org.cardamomthread.policy.routing.SelectionRequest;

/**
 * Replays one workload through one strategy on a virtual clock.
 *
 * <p>All strategies meet the same calls, prices, reclaims, drain and cold endpoints, and use the
 * same queue, slow start and host purchase unless they say otherwise. Not safe for use by several
 * threads.
 */
final class Replay {

    private static final int QUEUE_CAPACITY = 400;
    private static final int LATEST_START_TARGETS = 4;
    private static final long HOLD_MS = 2_000;
    private static final long QUEUE_PERIOD_MS = 100;
    private static final long MOVE_DELAY_MS = 20;
    private static final long RETRY_DELAY_MS = 200;
    private static final int MOST_ATTEMPTS = 4;
    private static final double MS_PER_SECOND = 1_000;

    private final Workload workload;
    private final Strategy strategy;
    private final EventLoop loop = new EventLoop();
    private final Random random;
    private final ReplayFleet fleet;
    private final ReplayPlatform platform;
    private final MarketHistory market;
    private final PatientRelease release = new PatientRelease();
    private final ReplayResult result = new ReplayResult();
    private final Set<Long> computed = new HashSet<>();
    private final List<CallState> states = new ArrayList<>();
    private final Map<RequestId, CallState> queued = new HashMap<>();
    private final Map<Call.Pool, WeightedFairQueue> queues = new EnumMap<>(Call.Pool.class);

    Replay(Workload workload, Strategy strategy, long seed) {
        this.workload = workload;
        this.strategy = strategy;
        this.random = new Random(seed);
        FakePrices prices = new FakePrices(seed);
        this.fleet = new ReplayFleet(loop, new Random(seed + 1), prices, strategy, workload);
        this.market = new MarketHistory(prices, workload);
        this.platform = new ReplayPlatform(loop, fleet, workload, new Random(seed + 2), this);
        for (Call.Pool pool : Call.Pool.values()) {
            queues.put(pool, new WeightedFairQueue(QUEUE_CAPACITY, account -> 1));
        }
    }

    ReplayResult run() {
        for (Call call : workload.calls()) {
            CallState state = new CallState(call, random.nextInt(ReplayFleet.GATEWAYS));
            states.add(state);
            loop.at(call.arrivalMs(), () -> arrive(state));
        }
        platform.schedule();
        loop.every(QUEUE_PERIOD_MS, workload.durationMs() + 600_000, this::pollQueues);
        loop.run();
        for (CallState state : states) {
            result.addCall(state, platform.isDuringDrain(state.call().arrivalMs()));
        }
        for (FakeEndpoint endpoint : fleet.endpoints()) {
            endpoint.settle(loop.nowMs());
            result.addPrice(endpoint.price());
            result.addExcess(endpoint.largestExcess());
        }
        return result;
    }

    boolean movesCalls() {
        return strategy.movesCalls();
    }

    private void arrive(CallState state) {
        if (state.call().profile().priority() == Priority.PATIENT && strategy.holdsPatientWork()) {
            hold(state);
        } else {
            dispatchOrQueue(state, state.call().profile().priority());
        }
    }

    private void hold(CallState state) {
        Call call = state.call();
        double decodeRate = workload.fleet().get(0).decodeTokensPerSecond();
        double prefillRate = workload.fleet().get(0).prefillTokensPerSecond();
        long runMs =
                (long)
                        (MS_PER_SECOND * call.expectedOutputTokens() / decodeRate
                                + MS_PER_SECOND * call.promptTokens() / prefillRate);
        PatientRelease.Decision decision =
                release.decide(
                        new PatientJob(call.arrivalMs(), call.deadlineMs(), runMs),
                        market.view(fleet, state, loop.nowMs()),
                        loop.nowMs());
        switch (decision.action()) {
            case HOLD -> {
                long againMs = Math.min(decision.lookAgainAtMs(), loop.nowMs() + HOLD_MS);
                loop.at(againMs, () -> hold(state));
            }
            case START_BY_DEADLINE -> dispatchOrQueue(state, Priority.URGENT);
            default -> dispatchOrQueue(state, Priority.PATIENT);
        }
    }

    /** Sends a call to an endpoint, or lets it wait for one. */
    void dispatchOrQueue(CallState state, Priority priority) {
        Call call = state.call();
        boolean mustWait = queues.get(call.pool()).size() > 0;
        if (!mustWait && dispatch(state)) {
            return;
        }
        long latestStartMs =
                call.deadlineMs() != Long.MAX_VALUE
                        ? call.deadlineMs()
                        : Math.max(call.arrivalMs(), loop.nowMs() - 1)
                                + LATEST_START_TARGETS * call.profile().firstTokenTargetMs();
        QueuedRequest request =
                new QueuedRequest(
                        call.id(),
                        call.account(),
                        priority,
                        call.promptTokens() + call.expectedOutputTokens(),
                        latestStartMs);
        queued.put(call.id(), state);
        refuse(queues.get(call.pool()).offer(request, loop.nowMs()));
    }

    private void pollQueues() {
        for (Call.Pool pool : Call.Pool.values()) {
            refuse(queues.get(pool).expire(loop.nowMs()));
            pollQueue(pool);
        }
    }

    /** Sends waiting calls as long as there are credits. */
    void pollQueue(Call.Pool pool) {
        WeightedFairQueue queue = queues.get(pool);
        while (queue.size() > 0 && fleet.credits(pool) > 0) {
            Optional<QueuedRequest> next = queue.poll();
            if (next.isEmpty()) {
                return;
            }
            CallState state = queued.remove(next.get().id());
            if (!dispatch(state)) {
                dispatchOrQueue(state, next.get().priority());
                return;
            }
        }
    }

    private void refuse(List<AdmissionRefusal> refusals) {
        for (AdmissionRefusal refusal : refusals) {
            CallState state = queued.remove(refusal.request().id());
            if (state != null) {
                state.onRefused();
            }
        }
    }

    private boolean dispatch(CallState state) {
        Call call = state.call();
        GatewayView view = fleet.gateway(state.gateway());
        SelectionRequest request = Strategies.request(call);
        List<EndpointCandidate> usable = new ArrayList<>();
        for (EndpointCandidate candidate :
                view.pool(call.pool()).candidates(request, loop.nowMs(), random)) {
            if (candidate.credits() > 0) {
                usable.add(candidate);
            }
        }
        Optional<EndpointCandidate> chosen =
                strategy.choose(call, usable, view, loop.nowMs(), random);
        chosen.ifPresent(candidate -> send(state, fleet.endpoint(candidate.id()), false));
        return chosen.isPresent();
    }

    /** Begins a call at an endpoint. */
    void send(CallState state, FakeEndpoint endpoint, boolean kvMoved) {
        Call call = state.call();
        GatewayView view = fleet.gateway(state.gateway());
        double cached = view.prefixes().cachedTokens(endpoint.id(), call.prefix(), loop.nowMs());
        Execution execution = endpoint.begin(state, kvMoved, computed, result, loop.nowMs());
        state.onAttempt();
        if (execution == null) {
            result.addCollapse();
            retry(state);
            platform.collapse(endpoint);
            return;
        }
        int uncached = (int) Math.max(0, call.promptTokens() - cached);
        fleet.onSent(state.gateway(), endpoint, call, uncached);
        fleet.publishCacheEvents(endpoint, call);
        double expectedMs =
                RETRY_DELAY_MS
                        + execution.inFlight()
                                * MS_PER_SECOND
                                * call.promptTokens()
                                / endpoint.spec().prefillTokensPerSecond();
        loop.at(execution.firstTokenAtMs(), () -> onFirstToken(execution, endpoint, expectedMs));
        loop.at(execution.finishAtMs(), () -> onFinished(execution, endpoint));
    }

    private void onFirstToken(Execution execution, FakeEndpoint endpoint, double expectedMs) {
        if (!execution.isOver()) {
            fleet.slowStart(endpoint)
                    .onFirstToken(
                            loop.nowMs() - execution.startedAtMs(),
                            expectedMs,
                            execution.inFlight(),
                            execution.startedAtMs(),
                            loop.nowMs());
            fleet.refresh(endpoint);
        }
    }

    private void onFinished(Execution execution, FakeEndpoint endpoint) {
        if (execution.isOver()) {
            return;
        }
        endpoint.end(execution, loop.nowMs());
        long delayMs = (long) workload.clientDelayMs();
        CallState state = execution.state();
        state.onDelivered(execution.tokens(), execution.firstTokenAtMs() + delayMs);
        state.onFinished(loop.nowMs() + delayMs);
        fleet.refresh(endpoint);
        pollQueue(state.call().pool());
    }

    /** Takes a call away from an endpoint with the tokens that it delivered. */
    CallState interrupt(Execution execution, FakeEndpoint endpoint) {
        execution.end();
        endpoint.end(execution, loop.nowMs());
        CallState state = execution.state();
        int tokens = execution.tokensUntil(loop.nowMs());
        if (tokens > 0) {
            long delayMs = (long) workload.clientDelayMs();
            state.onDelivered(tokens, execution.firstTokenAtMs() + delayMs);
        }
        return state;
    }

    /** Runs a call again that lost its endpoint. */
    void retry(CallState state) {
        if (!strategy.movesCalls()) {
            result.addRecomputedTokens(state.deliveredTokens());
            state.restart();
        }
        if (state.attempts() >= MOST_ATTEMPTS) {
            state.onRefused();
            return;
        }
        loop.after(RETRY_DELAY_MS, () -> dispatchOrQueue(state, Priority.URGENT));
    }

    /** Goes on with a call at another endpoint after its KV cache was moved there. */
    void moveKv(CallState state, FakeEndpoint target, double transferMs) {
        loop.after(
                (long) transferMs + MOVE_DELAY_MS,
                () -> {
                    if (fleet.credits(target) > 0) {
                        target.cache().store(state.call().prefix());
                        send(state, target, true);
                    } else {
                        dispatchOrQueue(state, Priority.URGENT);
                    }
                });
    }
}
