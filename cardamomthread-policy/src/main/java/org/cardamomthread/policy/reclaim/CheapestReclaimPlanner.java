package org.cardamomthread.policy.reclaim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Lets calls finish that can do so in time, exports KV caches where that is faster than processing
 * the tokens again, and resumes or reruns the other calls.
 *
 * <p>Each call gets exactly one action. A call that is not idempotent is never executed elsewhere
 * after the endpoint started it. The exports are estimated to end before the reclaim. As they share
 * the bandwidth of the old host, those that save the most processing time per millisecond of
 * transfer come first. Stateless and thread-safe.
 */
public final class CheapestReclaimPlanner implements ReclaimPlanner {

    private static final double MS_PER_SECOND = 1_000;

    /** Share of the remaining time kept free, because the estimates are inaccurate. */
    private static final double SAFETY_MARGIN_SHARE = 0.2;

    private static final double EXPORT_OVERHEAD_MS = 20;

    @Override
    public List<ReclaimAction> plan(
            List<AffectedCall> calls,
            Function<AffectedCall, Optional<MigrationTarget>> targets,
            long remainingMs) {
        double usableMs = Math.max(0, remainingMs * (1 - SAFETY_MARGIN_SHARE));
        List<ReclaimAction> actions = new ArrayList<>(calls.size());
        List<ExportCandidate> exportCandidates = new ArrayList<>();
        for (AffectedCall call : calls) {
            Optional<MigrationTarget> target = targets.apply(call);
            ReclaimAction action = planWithoutExport(call, target, usableMs);
            if (shouldExport(call, target, action)) {
                exportCandidates.add(new ExportCandidate(call, target.get(), action));
            } else {
                actions.add(action);
            }
        }
        addExports(exportCandidates, usableMs, actions);
        return actions;
    }

    private static ReclaimAction planWithoutExport(
            AffectedCall call, Optional<MigrationTarget> target, double usableMs) {
        if (call.stage() == AffectedCall.Stage.QUEUED) {
            return new ReclaimAction(call.id(), ReclaimAction.Type.REQUEUE, 0, 0);
        }
        double remainingMs = MS_PER_SECOND * call.remainingTokens() / call.decodeTokensPerSecond();
        if (remainingMs <= usableMs) {
            return new ReclaimAction(call.id(), ReclaimAction.Type.FINISH, 0, 0);
        }
        if (!call.idempotent()) {
            return new ReclaimAction(call.id(), ReclaimAction.Type.AWAIT, 0, 0);
        }
        double cachedTokens = target.map(MigrationTarget::cachedTokens).orElse(0.0);
        double prefillTokensPerSecond =
                target.map(MigrationTarget::prefillTokensPerSecond).orElse(1.0);
        boolean canResume = target.map(MigrationTarget::canResume).orElse(false);
        double processedTokens =
                Math.max(
                        0, (canResume ? call.contextTokens() : call.promptTokens()) - cachedTokens);
        double interruptionMs = MS_PER_SECOND * processedTokens / prefillTokensPerSecond;
        if (canResume) {
            return new ReclaimAction(
                    call.id(), ReclaimAction.Type.RESUME, processedTokens, interruptionMs);
        }
        double generatedAgainMs =
                MS_PER_SECOND * call.deliveredTokens() / call.decodeTokensPerSecond();
        return new ReclaimAction(
                call.id(),
                ReclaimAction.Type.RERUN,
                processedTokens + call.deliveredTokens(),
                interruptionMs + generatedAgainMs);
    }

    private static boolean shouldExport(
            AffectedCall call, Optional<MigrationTarget> target, ReclaimAction fallback) {
        boolean leavesHost =
                fallback.type() == ReclaimAction.Type.RESUME
                        || fallback.type() == ReclaimAction.Type.RERUN;
        return leavesHost
                && target.isPresent()
                && target.get().canImportKv()
                && exportMs(call, target.get()) < fallback.interruptionMs();
    }

    private static void addExports(
            List<ExportCandidate> exportCandidates, double usableMs, List<ReclaimAction> actions) {
        exportCandidates.sort(
                Comparator.comparingDouble(ExportCandidate::savedMsPerExportMs).reversed());
        double exportTimeMs = 0;
        for (ExportCandidate candidate : exportCandidates) {
            double exportMs = exportMs(candidate.call(), candidate.target());
            if (exportTimeMs + exportMs <= usableMs) {
                exportTimeMs += exportMs;
                actions.add(
                        new ReclaimAction(
                                candidate.call().id(), ReclaimAction.Type.EXPORT_KV, 0, exportMs));
            } else {
                actions.add(candidate.fallback());
            }
        }
    }

    private static double exportMs(AffectedCall call, MigrationTarget target) {
        return EXPORT_OVERHEAD_MS
                + MS_PER_SECOND * call.contextTokens() / target.kvTransferTokensPerSecond();
    }

    /** Holds a call whose KV cache may be exported, and the action taken otherwise. Immutable. */
    private record ExportCandidate(
            AffectedCall call, MigrationTarget target, ReclaimAction fallback) {

        double savedMsPerExportMs() {
            return fallback.interruptionMs() / exportMs(call, target);
        }
    }
}
