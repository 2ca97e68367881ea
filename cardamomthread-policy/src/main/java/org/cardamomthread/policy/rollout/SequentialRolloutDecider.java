package org.cardamomthread.policy.rollout;

import java.util.Locale;

/**
 * Moves by steps, spends some calls to decide quickly when something speaks against the new
 * version, and takes it back when a fault is proved or the deadline comes.
 *
 * <p>Invariants: a move that ended never goes on; a stop by any observer ends it; the share rises
 * only by one step at a time. Immutable and safe for use by several threads.
 */
public final class SequentialRolloutDecider implements RolloutDecider {

    private static final double SUSPICION = 1; // recent evidence that starts a probe
    private static final double DISPELLED = 0.4; // recent evidence below which a probe ends
    private static final double PROBE_SHARE = 0.25;
    private static final int PROBE_CALLS = 12;
    private static final long LONGEST_PROBE_MS = 20_000;

    private final VersionComparison comparison = new VersionComparison();

    @Override
    public RolloutVerdict decide(
            RolloutPlan plan, MoveState state, MoveEvidence evidence, long nowMs) {
        if (state.phase() == MoveState.Phase.DONE) {
            return new RolloutVerdict(state, 1, RolloutReason.BAKE_PASSED, "the move is done");
        }
        if (state.phase() == MoveState.Phase.TAKEN_BACK) {
            return new RolloutVerdict(
                    state, 0, RolloutReason.DEADLINE_REACHED, "the move was taken back");
        }
        if (evidence.stop().isPresent()) {
            StopNotice stop = evidence.stop().get();
            return takeBack(state, stop.reason(), "stopped by " + stop.observer());
        }
        VersionComparison.Finding finding = comparison.compare(plan, evidence, nowMs);
        if (finding.proof() >= 1 / plan.falseAlarmRate()) {
            return takeBack(state, finding.reason(), describe(finding));
        }
        if (nowMs >= plan.deadlineMs()) {
            return takeBack(
                    state,
                    RolloutReason.DEADLINE_REACHED,
                    "step " + (state.step() + 1) + " of " + plan.steps().size() + " was not over");
        }
        return goOn(plan, state, evidence, finding, nowMs);
    }

    private static RolloutVerdict goOn(
            RolloutPlan plan,
            MoveState state,
            MoveEvidence evidence,
            VersionComparison.Finding finding,
            long nowMs) {
        long newCalls = evidence.total(VersionRole.NEW).calls();
        MoveState next = state;
        if (state.suspected()) {
            boolean probing =
                    finding.recent() >= DISPELLED
                            && newCalls - state.callsBeforeSuspicion() < PROBE_CALLS
                            && nowMs - state.suspectedSinceMs() < LONGEST_PROBE_MS;
            if (probing) {
                return new RolloutVerdict(
                        state, PROBE_SHARE, RolloutReason.SUSPICION, describe(finding));
            }
            next = state.cleared();
        } else if (finding.recent() >= SUSPICION) {
            return new RolloutVerdict(
                    state.suspected(nowMs, newCalls),
                    PROBE_SHARE,
                    RolloutReason.SUSPICION,
                    describe(finding));
        }
        return advance(plan, next, newCalls, nowMs);
    }

    private static RolloutVerdict advance(
            RolloutPlan plan, MoveState state, long newCalls, long nowMs) {
        RolloutStep step = plan.steps().get(state.step());
        boolean last = state.step() == plan.steps().size() - 1;
        long heldMs = nowMs - state.stepSinceMs();
        long neededMs = plan.stepMs(state.step()) + (last ? plan.bakeMs() : 0);
        if (heldMs < neededMs) {
            return new RolloutVerdict(
                    state,
                    step.share(),
                    RolloutReason.STEP_TIME_NOT_OVER,
                    (neededMs - heldMs) + " ms of the step are left");
        }
        long stepCalls = newCalls - state.callsBeforeStep();
        if (stepCalls < step.leastCalls()) {
            return new RolloutVerdict(
                    state,
                    step.share(),
                    RolloutReason.MORE_CALLS_NEEDED,
                    stepCalls + " of " + step.leastCalls() + " calls seen");
        }
        if (last) {
            return new RolloutVerdict(
                    state.ended(MoveState.Phase.DONE),
                    1,
                    RolloutReason.BAKE_PASSED,
                    "no fault found in " + newCalls + " calls");
        }
        MoveState next = state.nextStep(nowMs, newCalls);
        return new RolloutVerdict(
                next,
                plan.steps().get(next.step()).share(),
                RolloutReason.STEP_PASSED,
                "step " + (next.step() + 1) + " of " + plan.steps().size());
    }

    private static RolloutVerdict takeBack(MoveState state, RolloutReason reason, String detail) {
        return new RolloutVerdict(state.ended(MoveState.Phase.TAKEN_BACK), 0, reason, detail);
    }

    private static String describe(VersionComparison.Finding finding) {
        return String.format(
                Locale.ROOT,
                "%s on route %s, evidence %.1f to 1",
                finding.reason(),
                finding.route(),
                finding.proof());
    }
}
