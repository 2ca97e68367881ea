package org.cardamomthread.policy.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RouteId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link SequentialRolloutDecider} by moves with seeded calls and a controlled clock. */
public class SequentialRolloutDeciderTests {

    private static final RouteId CHAT = new RouteId("chat");
    private static final RouteId TAG = new RouteId("tag");
    private static final NodeId NODE = new NodeId("node-a");
    private static final long DEADLINE_MS = 1_800_000;
    private static final long TICK_MS = 1_000;
    private static final int CALLS_PER_TICK = 4;
    private static final double BASE_FAILURES = 0.003;

    private final RolloutDecider decider = new SequentialRolloutDecider();
    private final RolloutPlan plan = RolloutPlan.until(0, DEADLINE_MS);

    /** Gives the failure rate of the new version. */
    private interface Fault {
        double rate(RouteId route, long nowMs, double share);
    }

    /** Holds how a simulated move ended. */
    private record Outcome(
            RolloutVerdict verdict, long endMs, long newCalls, long calls, long firstSignMs) {}

    private Outcome run(long seed, Fault fault) {
        Random random = new Random(seed);
        EvidenceRecorder recorder = new EvidenceRecorder(NODE, plan);
        MoveState state = MoveState.start(plan);
        ToDoubleFunction<RouteId> shares = route -> plan.steps().get(0).share();
        long newCalls = 0;
        long calls = 0;
        long firstSignMs = -1;
        for (long nowMs = 0; nowMs <= DEADLINE_MS; nowMs += TICK_MS) {
            for (int i = 0; i < CALLS_PER_TICK; i++) {
                RouteId route = random.nextInt(3) == 0 ? TAG : CHAT;
                double share = shares.applyAsDouble(route);
                boolean isNew = random.nextDouble() < share;
                double bad = isNew ? fault.rate(route, nowMs, share) : 0;
                boolean failed = random.nextDouble() < Math.max(bad, BASE_FAILURES);
                firstSignMs = firstSignMs < 0 && failed && bad > 0 ? nowMs : firstSignMs;
                newCalls += isNew ? 1 : 0;
                calls++;
                boolean slow = random.nextDouble() < 0.05;
                CallOutcome outcome = new CallOutcome(failed, true, slow, slow);
                recorder.record(route, isNew ? VersionRole.NEW : VersionRole.OLD, outcome, nowMs);
            }
            RolloutVerdict verdict = decider.decide(plan, state, recorder.snapshot(), nowMs);
            state = verdict.state();
            shares = verdict::shareOf;
            if (state.phase() != MoveState.Phase.MOVING) {
                return new Outcome(verdict, nowMs, newCalls, calls, firstSignMs);
            }
        }
        throw new AssertionError("the move did not end by its deadline");
    }

    @DataProvider
    public Object[][] faults() {
        Fault atOnce = (route, nowMs, share) -> 0.9;
        Fault late = (route, nowMs, share) -> nowMs >= 600_000 ? 0.8 : 0;
        Fault oneRoute = (route, nowMs, share) -> route.equals(TAG) ? 0.9 : 0;
        Fault underLoad = (route, nowMs, share) -> share >= 0.25 ? 0.6 : 0;
        return new Object[][] {
            {"at once", atOnce}, {"late", late}, {"one route", oneRoute}, {"load", underLoad}
        };
    }

    @Test(dataProvider = "faults")
    public void takesABadVersionBackSoonAfterItShows(String name, Fault fault) {
        for (int seed = 0; seed < 6; seed++) {
            Outcome outcome = run(seed, fault);
            assertEquals(outcome.verdict().state().phase(), MoveState.Phase.TAKEN_BACK, name);
            assertEquals(outcome.verdict().reason(), RolloutReason.MORE_FAILURES, name);
            long afterSignMs = outcome.endMs() - outcome.firstSignMs();
            assertTrue(afterSignMs <= 45_000, name + " stopped after " + afterSignMs + " ms");
            long wholeMove = CALLS_PER_TICK * DEADLINE_MS / TICK_MS;
            assertTrue(
                    outcome.newCalls() <= 0.03 * wholeMove,
                    name + " got " + outcome.newCalls() + " of " + wholeMove);
        }
    }

    @Test
    public void keepsAGoodVersionAndEndsBeforeTheDeadline() {
        int wrong = 0;
        for (int seed = 0; seed < 30; seed++) {
            Outcome outcome = run(seed, (route, nowMs, share) -> 0);
            wrong += outcome.verdict().state().phase() == MoveState.Phase.DONE ? 0 : 1;
            assertTrue(outcome.endMs() < DEADLINE_MS);
        }
        assertEquals(wrong, 0);
    }

    @Test
    public void doesNotCountSlowCallsOnEndpointsThatAreWarmingUp() {
        EvidenceRecorder recorder = new EvidenceRecorder(NODE, plan);
        for (int i = 0; i < 100; i++) {
            recorder.record(CHAT, VersionRole.OLD, new CallOutcome(false, true, false, false), i);
            recorder.record(CHAT, VersionRole.NEW, new CallOutcome(false, false, true, true), i);
        }
        assertEquals(decideNow(recorder.snapshot()).state().phase(), MoveState.Phase.MOVING);
        for (int i = 0; i < 100; i++) {
            recorder.record(CHAT, VersionRole.NEW, new CallOutcome(false, true, true, false), i);
        }
        assertEquals(decideNow(recorder.snapshot()).reason(), RolloutReason.SLOWER_FIRST_TOKEN);
    }

    @Test
    public void findsALateFaultAfterManyGoodCalls() {
        EvidenceRecorder recorder = new EvidenceRecorder(NODE, plan);
        long lateMs = DEADLINE_MS / 2;
        for (int i = 0; i < 4_000; i++) {
            long atMs = i * lateMs / 4_000;
            recorder.record(
                    CHAT, VersionRole.OLD, new CallOutcome(false, true, false, false), atMs);
            recorder.record(
                    CHAT, VersionRole.NEW, new CallOutcome(false, true, false, false), atMs);
        }
        for (int i = 0; i < 12; i++) {
            recorder.record(
                    CHAT, VersionRole.OLD, new CallOutcome(false, true, false, false), lateMs);
            recorder.record(
                    CHAT, VersionRole.NEW, new CallOutcome(true, true, false, false), lateMs);
        }
        RolloutVerdict verdict =
                decider.decide(plan, MoveState.start(plan), recorder.snapshot(), lateMs);
        assertEquals(verdict.reason(), RolloutReason.MORE_FAILURES);
    }

    @Test
    public void takesBackAtTheDeadlineWithoutEnoughCalls() {
        RolloutVerdict verdict =
                decider.decide(plan, MoveState.start(plan), MoveEvidence.EMPTY, DEADLINE_MS);
        assertEquals(verdict.state().phase(), MoveState.Phase.TAKEN_BACK);
        assertEquals(verdict.reason(), RolloutReason.DEADLINE_REACHED);
    }

    @Test
    public void staysTakenBackAfterAStopByAnyObserver() {
        MoveEvidence evidence =
                MoveEvidence.EMPTY.stopped(new StopNotice(NODE, RolloutReason.OPERATOR));
        RolloutVerdict verdict = decideNow(evidence);
        assertEquals(verdict.share(), 0, 0);
        RolloutVerdict later = decider.decide(plan, verdict.state(), MoveEvidence.EMPTY, 2_000);
        assertEquals(later.state().phase(), MoveState.Phase.TAKEN_BACK);
        assertEquals(later.share(), 0, 0);
    }

    private RolloutVerdict decideNow(MoveEvidence evidence) {
        return decider.decide(plan, MoveState.start(plan), evidence, 1_000);
    }
}
