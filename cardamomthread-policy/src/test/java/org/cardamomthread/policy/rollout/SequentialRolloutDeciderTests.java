package org.cardamomthread.policy.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RouteId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link SequentialRolloutDecider} by simulated rollouts with seeded random calls and a
 * simulated clock.
 */
public class SequentialRolloutDeciderTests {

    private static final RouteId CHAT = new RouteId("chat");
    private static final RouteId TAG = new RouteId("tag");
    private static final NodeId NODE = new NodeId("node-a");
    private static final long DEADLINE_MS = 1_800_000;
    private static final long TICK_MS = 1_000;
    private static final int CALLS_PER_TICK = 4;
    private static final double BASE_FAILURE_RATE = 0.003;

    private final RolloutDecider decider = new SequentialRolloutDecider();
    private final RolloutPlan plan = RolloutPlan.withDefaultSteps(0, DEADLINE_MS);

    /** Returns the failure rate of the new version at a time and traffic share. */
    private interface Fault {
        double rate(RouteId route, long nowMs, double share);
    }

    /** Holds the result of a simulated rollout. */
    private record Outcome(
            RolloutDecision decision, long endMs, long newCalls, long calls, long firstFaultMs) {}

    private Outcome simulate(long seed, Fault fault) {
        Random random = new Random(seed);
        EvidenceRecorder recorder = new EvidenceRecorder(NODE, plan);
        RolloutState state = RolloutState.start(plan);
        ToDoubleFunction<RouteId> shares = route -> plan.steps().get(0).share();
        long newCalls = 0;
        long calls = 0;
        long firstFaultMs = -1;
        for (long nowMs = 0; nowMs <= DEADLINE_MS; nowMs += TICK_MS) {
            for (int i = 0; i < CALLS_PER_TICK; i++) {
                RouteId route = random.nextInt(3) == 0 ? TAG : CHAT;
                double share = shares.applyAsDouble(route);
                boolean isNew = random.nextDouble() < share;
                double faultRate = isNew ? fault.rate(route, nowMs, share) : 0;
                boolean failed = random.nextDouble() < Math.max(faultRate, BASE_FAILURE_RATE);
                firstFaultMs = firstFaultMs < 0 && failed && faultRate > 0 ? nowMs : firstFaultMs;
                newCalls += isNew ? 1 : 0;
                calls++;
                boolean slow = random.nextDouble() < 0.05;
                CallObservation observation = new CallObservation(failed, true, slow, slow);
                recorder.record(
                        route, isNew ? VersionRole.NEW : VersionRole.OLD, observation, nowMs);
            }
            RolloutDecision decision = decider.decide(plan, state, recorder.snapshot(), nowMs);
            state = decision.state();
            shares = decision::shareOf;
            if (state.phase() != RolloutState.Phase.IN_PROGRESS) {
                return new Outcome(decision, nowMs, newCalls, calls, firstFaultMs);
            }
        }
        throw new AssertionError("the rollout did not end by its deadline");
    }

    @DataProvider
    public Object[][] faults() {
        Fault immediate = (route, nowMs, share) -> 0.9;
        Fault late = (route, nowMs, share) -> nowMs >= 600_000 ? 0.8 : 0;
        Fault singleRoute = (route, nowMs, share) -> route.equals(TAG) ? 0.9 : 0;
        Fault underLoad = (route, nowMs, share) -> share >= 0.25 ? 0.6 : 0;
        return new Object[][] {
            {"immediate", immediate},
            {"late", late},
            {"single route", singleRoute},
            {"under load", underLoad}
        };
    }

    @Test(dataProvider = "faults")
    public void rollsBackFaultyVersionSoonAfterFirstFailure(String name, Fault fault) {
        for (int seed = 0; seed < 6; seed++) {
            Outcome outcome = simulate(seed, fault);
            assertEquals(outcome.decision().state().phase(), RolloutState.Phase.ROLLED_BACK, name);
            assertEquals(outcome.decision().reason(), RolloutReason.MORE_FAILURES, name);
            long detectionMs = outcome.endMs() - outcome.firstFaultMs();
            assertTrue(detectionMs <= 45_000, name + ": rolled back after " + detectionMs + " ms");
            long totalCalls = CALLS_PER_TICK * DEADLINE_MS / TICK_MS;
            assertTrue(
                    outcome.newCalls() <= 0.03 * totalCalls,
                    name + ": new version got " + outcome.newCalls() + " calls of " + totalCalls);
        }
    }

    @Test
    public void completesRolloutOfGoodVersionBeforeDeadline() {
        int falseAlarms = 0;
        for (int seed = 0; seed < 30; seed++) {
            Outcome outcome = simulate(seed, (route, nowMs, share) -> 0);
            falseAlarms +=
                    outcome.decision().state().phase() == RolloutState.Phase.COMPLETED ? 0 : 1;
            assertTrue(outcome.endMs() < DEADLINE_MS);
        }
        assertEquals(falseAlarms, 0);
    }

    @Test
    public void ignoresLatencyOfWarmingUpEndpoints() {
        EvidenceRecorder recorder = new EvidenceRecorder(NODE, plan);
        for (int i = 0; i < 100; i++) {
            recorder.record(
                    CHAT, VersionRole.OLD, new CallObservation(false, true, false, false), i);
            recorder.record(
                    CHAT, VersionRole.NEW, new CallObservation(false, false, true, true), i);
        }
        assertEquals(
                decideNow(recorder.snapshot()).state().phase(), RolloutState.Phase.IN_PROGRESS);
        for (int i = 0; i < 100; i++) {
            recorder.record(
                    CHAT, VersionRole.NEW, new CallObservation(false, true, true, false), i);
        }
        assertEquals(decideNow(recorder.snapshot()).reason(), RolloutReason.SLOWER_FIRST_TOKEN);
    }

    @Test
    public void detectsLateFaultAfterManyGoodCalls() {
        EvidenceRecorder recorder = new EvidenceRecorder(NODE, plan);
        long faultStartMs = DEADLINE_MS / 2;
        for (int i = 0; i < 4_000; i++) {
            long atMs = i * faultStartMs / 4_000;
            recorder.record(
                    CHAT, VersionRole.OLD, new CallObservation(false, true, false, false), atMs);
            recorder.record(
                    CHAT, VersionRole.NEW, new CallObservation(false, true, false, false), atMs);
        }
        for (int i = 0; i < 12; i++) {
            recorder.record(
                    CHAT,
                    VersionRole.OLD,
                    new CallObservation(false, true, false, false),
                    faultStartMs);
            recorder.record(
                    CHAT,
                    VersionRole.NEW,
                    new CallObservation(true, true, false, false),
                    faultStartMs);
        }
        RolloutDecision decision =
                decider.decide(plan, RolloutState.start(plan), recorder.snapshot(), faultStartMs);
        assertEquals(decision.reason(), RolloutReason.MORE_FAILURES);
    }

    @Test
    public void probesOnlySuspectedRoute() {
        EvidenceRecorder recorder = new EvidenceRecorder(NODE, plan);
        for (int i = 0; i < 200; i++) {
            RouteId route = i % 2 == 0 ? CHAT : TAG;
            recorder.record(
                    route, VersionRole.OLD, new CallObservation(false, true, false, false), i);
        }
        recorder.record(TAG, VersionRole.NEW, new CallObservation(true, true, false, false), 500);
        RolloutDecision decision = decideNow(recorder.snapshot());
        assertEquals(decision.reason(), RolloutReason.SUSPICION);
        assertEquals(decision.shareOf(TAG), RolloutDecision.PROBE_SHARE, 0);
        assertEquals(decision.shareOf(CHAT), plan.steps().get(0).share(), 0);
        assertEquals(decision.overallShare(), 0.25, 0);
    }

    @Test
    public void rollsBackAtDeadlineWithoutEnoughCalls() {
        RolloutDecision decision =
                decider.decide(plan, RolloutState.start(plan), RolloutEvidence.EMPTY, DEADLINE_MS);
        assertEquals(decision.state().phase(), RolloutState.Phase.ROLLED_BACK);
        assertEquals(decision.reason(), RolloutReason.DEADLINE_REACHED);
    }

    @Test
    public void remainsRolledBackAfterStopByAnyObserver() {
        RolloutEvidence evidence =
                RolloutEvidence.EMPTY.withStop(new StopNotice(NODE, RolloutReason.OPERATOR));
        RolloutDecision decision = decideNow(evidence);
        assertEquals(decision.overallShare(), 0, 0);
        RolloutDecision later =
                decider.decide(plan, decision.state(), RolloutEvidence.EMPTY, 2_000);
        assertEquals(later.state().phase(), RolloutState.Phase.ROLLED_BACK);
        assertEquals(later.overallShare(), 0, 0);
        assertEquals(later.reason(), RolloutReason.ALREADY_ENDED);
    }

    private RolloutDecision decideNow(RolloutEvidence evidence) {
        return decider.decide(plan, RolloutState.start(plan), evidence, 1_000);
    }
}
