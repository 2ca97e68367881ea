package org.cardamomthread.experiments.replay;

import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.policy.rollout.CallObservation;
import org.cardamomthread.policy.rollout.EvidenceRecorder;
import org.cardamomthread.policy.rollout.RolloutDecider;
import org.cardamomthread.policy.rollout.RolloutDecision;
import org.cardamomthread.policy.rollout.RolloutEvidence;
import org.cardamomthread.policy.rollout.RolloutPlan;
import org.cardamomthread.policy.rollout.RolloutState;
import org.cardamomthread.policy.rollout.SequentialRolloutDecider;
import org.cardamomthread.policy.rollout.VersionRole;

/**
 * Simulates version moves. Calls arrive as a Poisson process, are split by the current share, and
 * their outcomes reach the decider one second later. Immutable.
 */
final class VersionMoveReplay {

    private static final long DEADLINE_MS = 1_800_000;
    private static final long TICK_MS = 1_000;
    private static final double BASE_FAILURE_RATE = 0.003;
    private static final double BASE_SLOW_RATE = 0.04;
    private static final long SLOW_START_MS = 120_000;
    private static final double BURST_FACTOR = 2.8;

    private final double callsPerSecond;
    private final boolean hasBursts;
    private final List<RouteId> routes;
    private final double[] routeShares;
    private final RolloutDecider decider = new SequentialRolloutDecider();

    private VersionMoveReplay(
            double callsPerSecond, boolean hasBursts, List<RouteId> routes, double... routeShares) {
        this.callsPerSecond = callsPerSecond;
        this.hasBursts = hasBursts;
        this.routes = routes;
        this.routeShares = routeShares;
    }

    static VersionMoveReplay coldwater() {
        return new VersionMoveReplay(
                3.6,
                true,
                List.of(new RouteId("chat"), new RouteId("tag"), new RouteId("order")),
                0.6,
                0.25,
                0.15);
    }

    static VersionMoveReplay serra() {
        return new VersionMoveReplay(
                4.5,
                false,
                List.of(new RouteId("assess"), new RouteId("draft"), new RouteId("tag")),
                0.45,
                0.33,
                0.22);
    }

    VersionMoveOutcome run(VersionMoveFault fault, long seed) {
        Random random = new Random(seed * 31 + fault.ordinal());
        RolloutPlan plan = RolloutPlan.withDefaultSteps(0, DEADLINE_MS);
        EvidenceRecorder recorder = new EvidenceRecorder(new NodeId("node"), plan);
        RolloutEvidence knownEvidence = RolloutEvidence.EMPTY;
        RolloutState state = RolloutState.start(plan);
        ToDoubleFunction<RouteId> shares = route -> plan.steps().get(0).share();
        MoveCounters counts = new MoveCounters();
        for (long nowMs = 0; nowMs <= DEADLINE_MS; nowMs += TICK_MS) {
            long calls = poisson(random, callRate(nowMs));
            for (long i = 0; i < calls && state.phase() == RolloutState.Phase.IN_PROGRESS; i++) {
                simulateCall(fault, random, recorder, nowMs, shares, counts);
            }
            counts.callsUntilDeadline += calls;
            if (state.phase() == RolloutState.Phase.IN_PROGRESS) {
                RolloutDecision decision = decider.decide(plan, state, knownEvidence, nowMs);
                state = decision.state();
                shares = decision::shareOf;
                counts.endMs = nowMs;
                knownEvidence = recorder.snapshot();
            }
        }
        return new VersionMoveOutcome(
                fault,
                state.phase() == RolloutState.Phase.COMPLETED,
                counts.endMs,
                counts.firstSymptomMs,
                counts.newCalls,
                counts.callsUntilDeadline);
    }

    private void simulateCall(
            VersionMoveFault fault,
            Random random,
            EvidenceRecorder recorder,
            long nowMs,
            ToDoubleFunction<RouteId> shares,
            MoveCounters counts) {
        RouteId route = randomRoute(random);
        double share = shares.applyAsDouble(route);
        boolean isNew = random.nextDouble() < share;
        double faultFailureRate =
                isNew ? fault.failureRate(route, routes.get(routes.size() - 1), nowMs, share) : 0;
        boolean failedByFault = random.nextDouble() < faultFailureRate;
        boolean failed = failedByFault || random.nextDouble() < BASE_FAILURE_RATE;
        boolean warm = !isNew || fault != VersionMoveFault.SLOW_START || nowMs > SLOW_START_MS;
        boolean slowByFault = isNew && (fault == VersionMoveFault.SLOW || !warm);
        boolean slow = slowByFault || random.nextDouble() < BASE_SLOW_RATE;
        boolean longTokenGap = random.nextDouble() < BASE_SLOW_RATE;
        recorder.record(
                route,
                isNew ? VersionRole.NEW : VersionRole.OLD,
                new CallObservation(failed, warm, slow, longTokenGap),
                nowMs);
        counts.newCalls += isNew ? 1 : 0;
        if (counts.firstSymptomMs < 0
                && (failedByFault || (slowByFault && fault == VersionMoveFault.SLOW))) {
            counts.firstSymptomMs = nowMs;
        }
    }

    private RouteId randomRoute(Random random) {
        double remaining = random.nextDouble();
        for (int i = 0; i < routeShares.length; i++) {
            remaining -= routeShares[i];
            if (remaining < 0) {
                return routes.get(i);
            }
        }
        return routes.get(routes.size() - 1);
    }

    private double callRate(long nowMs) {
        double minute = nowMs / 60_000.0 % 10;
        return hasBursts && minute >= 4 && minute < 8
                ? BURST_FACTOR * callsPerSecond
                : callsPerSecond;
    }

    private static long poisson(Random random, double mean) {
        double limit = Math.exp(-mean);
        double product = random.nextDouble();
        long count = 0;
        while (product > limit) {
            product *= random.nextDouble();
            count++;
        }
        return count;
    }

    /** Counters of one move. Not thread-safe. */
    private static final class MoveCounters {
        private long newCalls;
        private long callsUntilDeadline;
        private long firstSymptomMs = -1;
        private long endMs;
    }
}
