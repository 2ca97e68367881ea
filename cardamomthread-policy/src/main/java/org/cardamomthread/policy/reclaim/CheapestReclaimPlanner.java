package org.cardamomthread.policy.reclaim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Lets calls end that can, exports KV caches where that is quicker than processing again, and
 * resumes or reruns the others.
 *
 * <p>Invariants: each call gets exactly one action; a call that may not be repeated is never run
 * elsewhere once the endpoint has begun it; the exports end before the reclaim by their estimates.
 * Exports share the old host's bandwidth, so those that save most processing for each millisecond
 * of transfer go first. Stateless and safe for use by several threads.
 */
public final class CheapestReclaimPlanner implements ReclaimPlanner {

    private static final double MS_PER_SECOND = 1_000;
    private static final double RESERVED_SHARE = 0.2; // of the time, for estimates that are off
    private static final double EXPORT_OVERHEAD_MS = 20;

    @Override
    public List<ReclaimAction> plan(
            List<AffectedCall> calls,
            Function<AffectedCall, Optional<MoveTarget>> targets,
            long remainingMs) {
        double usableMs = Math.max(0, remainingMs * (1 - RESERVED_SHARE));
        List<ReclaimAction> actions = new ArrayList<>(calls.size());
        List<Transfer> transfers = new ArrayList<>();
        for (AffectedCall call : calls) {
            Optional<MoveTarget> target = targets.apply(call);
            ReclaimAction action = withoutExport(call, target, usableMs);
            if (mayExport(call, target, action)) {
                transfers.add(new Transfer(call, target.get(), action));
            } else {
                actions.add(action);
            }
        }
        addTransfers(transfers, usableMs, actions);
        return actions;
    }

    private static ReclaimAction withoutExport(
            AffectedCall call, Optional<MoveTarget> target, double usableMs) {
        if (call.stage() == AffectedCall.Stage.QUEUED) {
            return new ReclaimAction(call.id(), ReclaimAction.Type.REQUEUE, 0, 0);
        }
        double remainingMs = MS_PER_SECOND * call.remainingTokens() / call.decodeTokensPerSecond();
        if (remainingMs <= usableMs) {
            return new ReclaimAction(call.id(), ReclaimAction.Type.FINISH, 0, 0);
        }
        if (!call.repeatable()) {
            return new ReclaimAction(call.id(), ReclaimAction.Type.AWAIT, 0, 0);
        }
        double cached = target.map(MoveTarget::cachedTokens).orElse(0.0);
        double prefillRate = target.map(MoveTarget::prefillTokensPerSecond).orElse(1.0);
        boolean resumes = target.map(MoveTarget::resumes).orElse(false);
        double processedTokens =
                Math.max(0, (resumes ? call.stateTokens() : call.promptTokens()) - cached);
        double interruptionMs = MS_PER_SECOND * processedTokens / prefillRate;
        if (resumes) {
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

    private static boolean mayExport(
            AffectedCall call, Optional<MoveTarget> target, ReclaimAction otherwise) {
        boolean moves =
                otherwise.type() == ReclaimAction.Type.RESUME
                        || otherwise.type() == ReclaimAction.Type.RERUN;
        return moves
                && target.isPresent()
                && target.get().importsKv()
                && exportMs(call, target.get()) < otherwise.interruptionMs();
    }

    private static void addTransfers(
            List<Transfer> transfers, double usableMs, List<ReclaimAction> actions) {
        transfers.sort(Comparator.comparingDouble(Transfer::savedShare).reversed());
        double usedMs = 0;
        for (Transfer transfer : transfers) {
            double exportMs = exportMs(transfer.call(), transfer.target());
            if (usedMs + exportMs <= usableMs) {
                usedMs += exportMs;
                actions.add(
                        new ReclaimAction(
                                transfer.call().id(), ReclaimAction.Type.EXPORT_KV, 0, exportMs));
            } else {
                actions.add(transfer.otherwise());
            }
        }
    }

    private static double exportMs(AffectedCall call, MoveTarget target) {
        return EXPORT_OVERHEAD_MS + MS_PER_SECOND * call.stateTokens() / target.kvTokensPerSecond();
    }

    /** Holds a call whose KV cache may move, and what happens otherwise. Immutable. */
    private record Transfer(AffectedCall call, MoveTarget target, ReclaimAction otherwise) {

        double savedShare() {
            return otherwise.interruptionMs() / exportMs(call, target);
        }
    }
}
