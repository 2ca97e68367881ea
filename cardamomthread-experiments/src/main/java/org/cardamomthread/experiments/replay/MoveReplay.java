package org.cardamomthread.experiments.replay;

import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.policy.rollout.CallOutcome;
import org.cardamomthread.policy.rollout.EvidenceRecorder;
import org.cardamomthread.policy.rollout.MoveEvidence;
import org.cardamomthread.policy.rollout.MoveState;
import org.cardamomthread.policy.rollout.RolloutDecider;
import org.cardamomthread.policy.rollout.RolloutPlan;
import org.cardamomthread.policy.rollout.RolloutVerdict;
import org.cardamomthread.policy.rollout.SequentialRolloutDecider;
import org.cardamomthread.policy.rollout.VersionRole;

/**
 * Replays version moves: calls arrive at random, are split by the present share, and their outcomes
 * reach the decision a second later. Immutable.
 */
final class MoveReplay {

    private static final long WINDOW_MS = 1_800_000;
    private static final long TICK_MS = 1_000;
    private static final double BASE_FAILURES = 0.003;
    private static final double BASE_SLOW = 0.04;
    private static final long SLOW_START_MS = 120_000;
    private static final double BURST = 2.8;

    private final double callsPerSecond;
    private final boolean hasBursts;
    private final List<RouteId> routes;
    private final double[] routeShares;
    private final RolloutDecider decider = new SequentialRolloutDecider();

    private MoveReplay(
            double callsPerSecond, boolean hasBursts, List<RouteId> routes, double... routeShares) {
        this.callsPerSecond = callsPerSecond;
        this.hasBursts = hasBursts;
        this.routes = routes;
        this.routeShares = routeShares;
    }

    static MoveReplay coldwater() {
        return new MoveReplay(
                3.6,
                true,
                List.of(new RouteId("chat"), new RouteId("tag"), new RouteId("order")),
                0.6,
                0.25,
                0.15);
    }

    static MoveReplay serra() {
        return new MoveReplay(
                4.5,
                false,
                List.of(new RouteId("assess"), new RouteId("draft"), new RouteId("tag")),
                0.45,
                0.33,
                0.22);
    }

    MoveOutcome run(MoveFault fault, long seed) {
        Random random = new Random(seed * 31 + fault.ordinal());
        RolloutPlan plan = RolloutPlan.until(0, WINDOW_MS);
        EvidenceRecorder recorder = new EvidenceRecorder(new NodeId("node"), plan);
        MoveEvidence known = MoveEvidence.EMPTY;
        MoveState state = MoveState.start(plan);
        ToDoubleFunction<RouteId> shares = route -> plan.steps().get(0).share();
        Counts counts = new Counts();
        for (long nowMs = 0; nowMs <= WINDOW_MS; nowMs += TICK_MS) {
            long calls = poisson(random, rate(nowMs));
            for (long i = 0; i < calls && state.phase() == MoveState.Phase.MOVING; i++) {
                record(fault, random, recorder, nowMs, shares, counts);
            }
            counts.windowCalls += calls;
            if (state.phase() == MoveState.Phase.MOVING) {
                RolloutVerdict verdict = decider.decide(plan, state, known, nowMs);
                state = verdict.state();
                shares = verdict::shareOf;
                counts.endMs = nowMs;
                known = recorder.snapshot();
            }
        }
        return new MoveOutcome(
                fault,
                state.phase() == MoveState.Phase.DONE,
                counts.endMs,
                counts.signMs,
                counts.newCalls,
                counts.windowCalls);
    }

    private void record(
            MoveFault fault,
            Random random,
            EvidenceRecorder recorder,
            long nowMs,
            ToDoubleFunction<RouteId> shares,
            Counts counts) {
        RouteId route = route(random);
        double share = shares.applyAsDouble(route);
        boolean isNew = random.nextDouble() < share;
        double badShare =
                isNew ? fault.failures(route, routes.get(routes.size() - 1), nowMs, share) : 0;
        boolean bad = random.nextDouble() < badShare;
        boolean failed = bad || random.nextDouble() < BASE_FAILURES;
        boolean warm = !isNew || fault != MoveFault.SLOW_START || nowMs > SLOW_START_MS;
        boolean badSlow = isNew && (fault == MoveFault.SLOW || !warm);
        boolean slow = badSlow || random.nextDouble() < BASE_SLOW;
        boolean slowGap = random.nextDouble() < BASE_SLOW;
        recorder.record(
                route,
                isNew ? VersionRole.NEW : VersionRole.OLD,
                new CallOutcome(failed, warm, slow, slowGap),
                nowMs);
        counts.newCalls += isNew ? 1 : 0;
        if (counts.signMs < 0 && (bad || (badSlow && fault == MoveFault.SLOW))) {
            counts.signMs = nowMs;
        }
    }

    private RouteId route(Random random) {
        double choice = random.nextDouble();
        for (int i = 0; i < routeShares.length; i++) {
            choice -= routeShares[i];
            if (choice < 0) {
                return routes.get(i);
            }
        }
        return routes.get(routes.size() - 1);
    }

    private double rate(long nowMs) {
        double minute = nowMs / 60_000.0 % 10;
        return hasBursts && minute >= 4 && minute < 8 ? BURST * callsPerSecond : callsPerSecond;
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

    /** Counts along one move. Not safe for use by several threads. */
    private static final class Counts {
        private long newCalls;
        private long windowCalls;
        private long signMs = -1;
        private long endMs;
    }
}
