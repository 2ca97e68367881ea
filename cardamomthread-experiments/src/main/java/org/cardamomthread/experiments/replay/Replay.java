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
import org.cardamomthread.policy.admission.DeferrableJob;
import org.cardamomthread.policy.admission.DeferralPolicy;
import org.cardamomthread.policy.admission.QueuedRequest;
import org.cardamomthread.policy.admission.WeightedFairQueue;
import org.cardamomthread.policy.profile.Priority;
import org.cardamomthread.policy.routing.EndpointCandidate;
import org.cardamomthread.policy.routing.SelectionRequest;

/**
 * Replays one workload with one strategy in virtual time.
 *
 * <p>All strategies face the same calls, prices, reclaims, drain and cold endpoints, and use the
 * same queue, slow start and host purchase unless the {@link Strategy} states otherwise. Not
 * thread-safe.
 */
final class Replay {

    private static final int QUEUE_CAPACITY = 400;
    private static final int MAX_QUEUE_TIME_IN_TARGETS = 4;
    private static final long MAX_RECHECK_DELAY_MS = 2_000;
    private static final long QUEUE_POLL_INTERVAL_MS = 100;
    private static final long MIGRATION_DELAY_MS = 20;
    private static final long RETRY_DELAY_MS = 200;
    private static final int MAX_ATTEMPTS = 4;
    private static final double MS_PER_SECOND = 1_000;

    private final Workload workload;
    private final Strategy strategy;
    private final EventLoop loop = new EventLoop();
    private final Random random;
    private final ReplayFleet fleet;
    private final ReplayPlatform platform;
    private final MarketHistory market;
    private final DeferralPolicy deferralPolicy = new DeferralPolicy();
    private final ReplayResult result = new ReplayResult();
    private final Set<Long> computedBlocks = new HashSet<>();
    private final List<CallState> callStates = new ArrayList<>();
    private final Map<RequestId, CallState> queuedCalls = new HashMap<>();
    private final Map<Call.Pool, WeightedFairQueue> queues = new EnumMap<>(Call.Pool.class);

    Replay(Workload workload, Strategy strategy, long seed) {
        this.workload = workload;
        this.strategy = strategy;
        this.random = new Random(seed);
        SimulatedPrices prices = new SimulatedPrices(seed);
        this.fleet = new ReplayFleet(loop, new Random(seed + 1), prices, strategy, workload);
        this.market = new MarketHistory(prices, workload);
        this.platform = new ReplayPlatform(loop, fleet, workload, new Random(seed + 2), this);
        for (Call.Pool pool : Call.Pool.values()) {
            queues.put(pool, new WeightedFairQueue(QUEUE_CAPACITY, account -> 1));
        }
    }

    ReplayResult run() {
        for (Call call : workload.calls()) {
            CallState state = new CallState(call, random.nextInt(ReplayFleet.GATEWAY_COUNT));
            callStates.add(state);
            loop.scheduleAt(call.arrivalMs(), () -> handleArrival(state));
        }
        platform.schedule();
        loop.scheduleEvery(
                QUEUE_POLL_INTERVAL_MS, workload.durationMs() + 600_000, this::pollQueues);
        loop.run();
        for (CallState state : callStates) {
            result.addCall(state, platform.isDuringDrain(state.call().arrivalMs()));
        }
        for (SimulatedEndpoint endpoint : fleet.endpoints()) {
            endpoint.accrueCost(loop.nowMs());
            result.addCost(endpoint.accruedCost());
            result.addExcess(endpoint.largestExcess());
        }
        return result;
    }

    boolean migratesCalls() {
        return strategy.migratesCalls();
    }

    private void handleArrival(CallState state) {
        if (state.call().profile().priority() == Priority.PATIENT && strategy.defersCalls()) {
            deferOrDispatch(state);
        } else {
            dispatchOrQueue(state, state.call().profile().priority());
        }
    }

    private void deferOrDispatch(CallState state) {
        Call call = state.call();
        double decodeRate = workload.fleet().get(0).decodeTokensPerSecond();
        double prefillRate = workload.fleet().get(0).prefillTokensPerSecond();
        long runMs =
                (long)
                        (MS_PER_SECOND * call.expectedOutputTokens() / decodeRate
                                + MS_PER_SECOND * call.promptTokens() / prefillRate);
        DeferralPolicy.Decision decision =
                deferralPolicy.decide(
                        new DeferrableJob(call.arrivalMs(), call.deadlineMs(), runMs),
                        market.createSnapshot(fleet, state, loop.nowMs()),
                        loop.nowMs());
        switch (decision.action()) {
            case HOLD -> {
                long recheckAtMs =
                        Math.min(decision.nextDecisionAtMs(), loop.nowMs() + MAX_RECHECK_DELAY_MS);
                loop.scheduleAt(recheckAtMs, () -> deferOrDispatch(state));
            }
            case START_BY_DEADLINE -> dispatchOrQueue(state, Priority.URGENT);
            default -> dispatchOrQueue(state, Priority.PATIENT);
        }
    }

    /** Sends a call to an endpoint, or queues it if none has a credit. */
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
                                + MAX_QUEUE_TIME_IN_TARGETS * call.profile().firstTokenTargetMs();
        QueuedRequest request =
                new QueuedRequest(
                        call.id(),
                        call.account(),
                        priority,
                        call.promptTokens() + call.expectedOutputTokens(),
                        latestStartMs);
        queuedCalls.put(call.id(), state);
        recordRefusals(queues.get(call.pool()).offer(request, loop.nowMs()));
    }

    private void pollQueues() {
        for (Call.Pool pool : Call.Pool.values()) {
            recordRefusals(queues.get(pool).expire(loop.nowMs()));
            pollQueue(pool);
        }
    }

    /** Dispatches queued calls while credits are available. */
    void pollQueue(Call.Pool pool) {
        WeightedFairQueue queue = queues.get(pool);
        while (queue.size() > 0 && fleet.credits(pool) > 0) {
            Optional<QueuedRequest> next = queue.poll();
            if (next.isEmpty()) {
                return;
            }
            CallState state = queuedCalls.remove(next.get().id());
            if (!dispatch(state)) {
                dispatchOrQueue(state, next.get().priority());
                return;
            }
        }
    }

    private void recordRefusals(List<AdmissionRefusal> refusals) {
        for (AdmissionRefusal refusal : refusals) {
            CallState state = queuedCalls.remove(refusal.request().id());
            if (state != null) {
                state.recordRefusal();
            }
        }
    }

    private boolean dispatch(CallState state) {
        Call call = state.call();
        SimulatedGatewayView view = fleet.gateway(state.gateway());
        SelectionRequest request = Strategies.request(call);
        List<EndpointCandidate> usable = new ArrayList<>();
        for (EndpointCandidate candidate :
                view.pool(call.pool()).selectCandidates(request, loop.nowMs(), random)) {
            if (candidate.credits() > 0) {
                usable.add(candidate);
            }
        }
        Optional<EndpointCandidate> selected =
                strategy.selectEndpoint(call, usable, view, loop.nowMs(), random);
        selected.ifPresent(candidate -> send(state, fleet.endpoint(candidate.id()), false));
        return selected.isPresent();
    }

    /** Sends a call to an endpoint and schedules its progress. */
    void send(CallState state, SimulatedEndpoint endpoint, boolean kvTransferred) {
        Call call = state.call();
        SimulatedGatewayView view = fleet.gateway(state.gateway());
        double cached =
                view.prefixes().estimateCachedTokens(endpoint.id(), call.prefix(), loop.nowMs());
        Execution execution =
                endpoint.startExecution(state, kvTransferred, computedBlocks, result, loop.nowMs());
        state.recordAttempt();
        if (execution == null) {
            result.addCollapse();
            retry(state);
            platform.restartAfterOverload(endpoint);
            return;
        }
        int uncached = (int) Math.max(0, call.promptTokens() - cached);
        fleet.recordSend(state.gateway(), endpoint, call, uncached);
        fleet.publishCacheEvents(endpoint, call);
        double expectedMs =
                RETRY_DELAY_MS
                        + execution.inFlight()
                                * MS_PER_SECOND
                                * call.promptTokens()
                                / endpoint.spec().prefillTokensPerSecond();
        loop.scheduleAt(
                execution.firstTokenAtMs(), () -> onFirstToken(execution, endpoint, expectedMs));
        loop.scheduleAt(execution.finishAtMs(), () -> onFinished(execution, endpoint));
    }

    private void onFirstToken(Execution execution, SimulatedEndpoint endpoint, double expectedMs) {
        if (!execution.isEnded()) {
            fleet.slowStart(endpoint)
                    .onFirstToken(
                            loop.nowMs() - execution.startedAtMs(),
                            expectedMs,
                            execution.inFlight(),
                            execution.startedAtMs(),
                            loop.nowMs());
            fleet.publishCredits(endpoint);
        }
    }

    private void onFinished(Execution execution, SimulatedEndpoint endpoint) {
        if (execution.isEnded()) {
            return;
        }
        endpoint.endExecution(execution, loop.nowMs());
        long delayMs = (long) workload.clientDelayMs();
        CallState state = execution.state();
        state.recordDelivery(execution.tokens(), execution.firstTokenAtMs() + delayMs);
        state.recordFinish(loop.nowMs() + delayMs);
        fleet.publishCredits(endpoint);
        pollQueue(state.call().pool());
    }

    /** Ends an execution early and returns its call with the tokens delivered so far. */
    CallState interrupt(Execution execution, SimulatedEndpoint endpoint) {
        execution.end();
        endpoint.endExecution(execution, loop.nowMs());
        CallState state = execution.state();
        int tokens = execution.tokensUntil(loop.nowMs());
        if (tokens > 0) {
            long delayMs = (long) workload.clientDelayMs();
            state.recordDelivery(tokens, execution.firstTokenAtMs() + delayMs);
        }
        return state;
    }

    /** Requeues a call whose endpoint was lost, or refuses it after the last attempt. */
    void retry(CallState state) {
        if (!strategy.migratesCalls()) {
            result.addRecomputedTokens(state.deliveredTokens());
            state.discardDeliveredTokens();
        }
        if (state.attempts() >= MAX_ATTEMPTS) {
            state.recordRefusal();
            return;
        }
        loop.scheduleAfter(RETRY_DELAY_MS, () -> dispatchOrQueue(state, Priority.URGENT));
    }

    /** Continues a call at another endpoint after its KV cache was transferred there. */
    void resumeAfterKvTransfer(CallState state, SimulatedEndpoint target, double transferMs) {
        loop.scheduleAfter(
                (long) transferMs + MIGRATION_DELAY_MS,
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
