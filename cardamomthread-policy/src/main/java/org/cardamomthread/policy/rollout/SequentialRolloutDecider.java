package org.cardamomthread.policy.rollout;

import java.util.Locale;
import java.util.Optional;

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
    private static final double WHOLE_PROBE_SHARE = 0.25; // where routes are not told apart
    private static final int LEAST_PROBE_CALLS = 8;
    private static final int MOST_PROBE_CALLS = 40;
    private static final long LONGEST_PROBE_MS = 20_000;

    private final VersionComparison comparison = new VersionComparison();

    @Override
    public RolloutVerdict decide(
            RolloutPlan plan, MoveState state, MoveEvidence evidence, long nowMs) {
        if (state.phase() == MoveState.Phase.DONE) {
            return verdict(state, 1, RolloutReason.ALREADY_ENDED, "done before");
        }
        if (state.phase() == MoveState.Phase.TAKEN_BACK) {
            return verdict(state, 0, RolloutReason.ALREADY_ENDED, "taken back before");
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
            long probeCalls = newCalls - state.callsBeforeSuspicion();
            boolean open = probeCalls < LEAST_PROBE_CALLS || finding.recent() >= DISPELLED;
            boolean probing =
                    open
                            && probeCalls < MOST_PROBE_CALLS
                            && nowMs - state.suspectedSinceMs() < LONGEST_PROBE_MS;
            if (probing) {
                return probe(plan, state, finding);
            }
            next = state.cleared();
        } else if (finding.recent() >= SUSPICION) {
            return probe(plan, state.suspected(nowMs, newCalls), finding);
        }
        return advance(plan, next, newCalls, nowMs);
    }

    private static RolloutVerdict probe(
            RolloutPlan plan, MoveState state, VersionComparison.Finding finding) {
        double stepShare = plan.steps().get(state.step()).share();
        return new RolloutVerdict(
                state,
                WHOLE_PROBE_SHARE,
                Math.min(stepShare, WHOLE_PROBE_SHARE),
                Optional.ofNullable(finding.recentRoute()),
                RolloutReason.SUSPICION,
                describe(finding));
    }

    private static RolloutVerdict verdict(
            MoveState state, double share, RolloutReason reason, String detail) {
        return new RolloutVerdict(state, share, share, Optional.empty(), reason, detail);
    }

    private static RolloutVerdict advance(
            RolloutPlan plan, MoveState state, long newCalls, long nowMs) {
        RolloutStep step = plan.steps().get(state.step());
        boolean last = state.step() == plan.steps().size() - 1;
        long heldMs = nowMs - state.stepSinceMs();
        long neededMs = plan.stepMs(state.step()) + (last ? plan.bakeMs() : 0);
        if (heldMs < neededMs) {
            return verdict(
                    state,
                    step.share(),
                    RolloutReason.STEP_TIME_NOT_OVER,
                    (neededMs - heldMs) + " ms of the step are left");
        }
        long stepCalls = newCalls - state.callsBeforeStep();
        if (stepCalls < step.leastCalls()) {
            return verdict(
                    state,
                    step.share(),
                    RolloutReason.MORE_CALLS_NEEDED,
                    stepCalls + " of " + step.leastCalls() + " calls seen");
        }
        if (last) {
            return verdict(
                    state.ended(MoveState.Phase.DONE),
                    1,
                    RolloutReason.BAKE_PASSED,
                    "no fault found in " + newCalls + " calls");
        }
        MoveState next = state.nextStep(nowMs, newCalls);
        return verdict(
                next,
                plan.steps().get(next.step()).share(),
                RolloutReason.STEP_PASSED,
                "step " + (next.step() + 1) + " of " + plan.steps().size());
    }

    private static RolloutVerdict takeBack(MoveState state, RolloutReason reason, String detail) {
        return verdict(state.ended(MoveState.Phase.TAKEN_BACK), 0, reason, detail);
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
