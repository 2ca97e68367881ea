package org.cardamomthread.policy.rollout;

import java.util.Locale;
import java.util.Optional;

/**
 * Raises the share of the new version in steps, and rolls it back if a fault is proved or the
 * deadline passes.
 *
 * <p>When the new version is suspected of a fault, its share on the affected route is raised for a
 * short probe, so that the suspicion is confirmed or dismissed quickly.
 *
 * <p>A rollout that ended is never resumed; a stop by any observer ends it; apart from probes, the
 * share rises by one step at a time. Immutable and thread-safe.
 */
public final class SequentialRolloutDecider implements RolloutDecider {

    /** Suspicion level at which a probe starts. */
    private static final double SUSPICION_START_LEVEL = 1;

    /** Suspicion level below which a probe ends. */
    private static final double SUSPICION_END_LEVEL = 0.4;

    /** Share of all calls during a probe if the routes cannot be distinguished. */
    private static final double PROBE_OVERALL_SHARE = 0.25;

    private static final int MIN_PROBE_CALLS = 8;
    private static final int MAX_PROBE_CALLS = 40;
    private static final long MAX_PROBE_MS = 20_000;

    private final VersionComparison comparison = new VersionComparison();

    @Override
    public RolloutDecision decide(
            RolloutPlan plan, RolloutState state, RolloutEvidence evidence, long nowMs) {
        if (state.phase() == RolloutState.Phase.COMPLETED) {
            return createDecision(
                    state, 1, RolloutReason.ALREADY_ENDED, "the rollout had completed before");
        }
        if (state.phase() == RolloutState.Phase.ROLLED_BACK) {
            return createDecision(
                    state,
                    0,
                    RolloutReason.ALREADY_ENDED,
                    "the rollout had been rolled back before");
        }
        if (evidence.stop().isPresent()) {
            StopNotice stop = evidence.stop().get();
            return rollBack(state, stop.reason(), "stopped by node " + stop.observer());
        }
        VersionComparison.Finding finding = comparison.compare(plan, evidence, nowMs);
        if (finding.evidence() >= 1 / plan.falseAlarmRate()) {
            return rollBack(state, finding.reason(), describe(finding));
        }
        if (nowMs >= plan.deadlineMs()) {
            return rollBack(
                    state,
                    RolloutReason.DEADLINE_REACHED,
                    "step "
                            + (state.step() + 1)
                            + " of "
                            + plan.steps().size()
                            + " was not complete");
        }
        return proceed(plan, state, evidence, finding, nowMs);
    }

    private static RolloutDecision proceed(
            RolloutPlan plan,
            RolloutState state,
            RolloutEvidence evidence,
            VersionComparison.Finding finding,
            long nowMs) {
        long newCalls = evidence.total(VersionRole.NEW).calls();
        RolloutState next = state;
        if (state.isSuspected()) {
            long probeCalls = newCalls - state.callsBeforeSuspicion();
            boolean undecided =
                    probeCalls < MIN_PROBE_CALLS
                            || finding.recentSuspicion() >= SUSPICION_END_LEVEL;
            boolean probing =
                    undecided
                            && probeCalls < MAX_PROBE_CALLS
                            && nowMs - state.suspectedSinceMs() < MAX_PROBE_MS;
            if (probing) {
                return probe(plan, state, finding);
            }
            next = state.withoutSuspicion();
        } else if (finding.recentSuspicion() >= SUSPICION_START_LEVEL) {
            return probe(plan, state.withSuspicion(nowMs, newCalls), finding);
        }
        return advance(plan, next, newCalls, nowMs);
    }

    private static RolloutDecision probe(
            RolloutPlan plan, RolloutState state, VersionComparison.Finding finding) {
        double stepShare = plan.steps().get(state.step()).share();
        return new RolloutDecision(
                state,
                PROBE_OVERALL_SHARE,
                Math.min(stepShare, PROBE_OVERALL_SHARE),
                Optional.ofNullable(finding.suspectedRoute()),
                RolloutReason.SUSPICION,
                describe(finding));
    }

    private static RolloutDecision createDecision(
            RolloutState state, double share, RolloutReason reason, String detail) {
        return new RolloutDecision(state, share, share, Optional.empty(), reason, detail);
    }

    private static RolloutDecision advance(
            RolloutPlan plan, RolloutState state, long newCalls, long nowMs) {
        RolloutStep step = plan.steps().get(state.step());
        boolean isLastStep = state.step() == plan.steps().size() - 1;
        long heldMs = nowMs - state.stepStartedAtMs();
        long requiredMs = plan.stepDurationMs(state.step()) + (isLastStep ? plan.bakeMs() : 0);
        if (heldMs < requiredMs) {
            return createDecision(
                    state,
                    step.share(),
                    RolloutReason.STEP_TIME_NOT_OVER,
                    (requiredMs - heldMs) + " ms of the step remain");
        }
        long stepCalls = newCalls - state.callsBeforeStep();
        if (stepCalls < step.minCalls()) {
            return createDecision(
                    state,
                    step.share(),
                    RolloutReason.MORE_CALLS_NEEDED,
                    stepCalls + " of " + step.minCalls() + " required calls recorded");
        }
        if (isLastStep) {
            return createDecision(
                    state.withEnd(RolloutState.Phase.COMPLETED),
                    1,
                    RolloutReason.BAKE_PASSED,
                    "no fault detected in " + newCalls + " calls");
        }
        RolloutState next = state.withNextStep(nowMs, newCalls);
        return createDecision(
                next,
                plan.steps().get(next.step()).share(),
                RolloutReason.STEP_PASSED,
                "step " + (next.step() + 1) + " of " + plan.steps().size());
    }

    private static RolloutDecision rollBack(
            RolloutState state, RolloutReason reason, String detail) {
        return createDecision(state.withEnd(RolloutState.Phase.ROLLED_BACK), 0, reason, detail);
    }

    private static String describe(VersionComparison.Finding finding) {
        return String.format(
                Locale.ROOT,
                "%s on route %s, evidence ratio %.1f:1",
                finding.reason(),
                finding.route(),
                finding.evidence());
    }
}
