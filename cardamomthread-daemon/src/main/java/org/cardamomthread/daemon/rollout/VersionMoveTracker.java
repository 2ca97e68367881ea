package org.cardamomthread.daemon.rollout;

import java.util.Optional;
import org.cardamomthread.configuration.state.VersionMove;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.daemon.generated.EvidenceAnswer;
import org.cardamomthread.policy.rollout.CallOutcome;
import org.cardamomthread.policy.rollout.EvidenceRecorder;
import org.cardamomthread.policy.rollout.MoveEvidence;
import org.cardamomthread.policy.rollout.MoveState;
import org.cardamomthread.policy.rollout.RolloutDecider;
import org.cardamomthread.policy.rollout.RolloutPlan;
import org.cardamomthread.policy.rollout.RolloutReason;
import org.cardamomthread.policy.rollout.RolloutVerdict;
import org.cardamomthread.policy.rollout.StopNotice;
import org.cardamomthread.policy.rollout.VersionRole;

/**
 * Follows one running version move on one node.
 *
 * <p>Invariants: the counts only grow; once the new version was stopped its share stays zero here.
 * Safe for use by several threads.
 */
final class VersionMoveTracker {

    private final NodeId node;
    private final RolloutPlan plan;
    private final RolloutDecider decider;
    private final EvidenceRecorder recorder;
    private VersionMove move;
    private MoveState state;
    private MoveEvidence knownEvidence = MoveEvidence.EMPTY;
    private double share;
    private Optional<RouteId> probedRoute = Optional.empty();

    VersionMoveTracker(NodeId node, VersionMove move, RolloutPlan plan, RolloutDecider decider) {
        this.node = node;
        this.plan = plan;
        this.decider = decider;
        this.recorder = new EvidenceRecorder(node, plan);
        this.move = move;
        this.state = MoveState.start(plan);
        this.share = getStepShare(move.step());
        update(move);
    }

    synchronized VersionMove getMove() {
        return move;
    }

    /** Takes over what the replicated configuration says of the move. */
    synchronized void update(VersionMove newer) {
        boolean isAhead = newer.step() > state.step();
        move = newer;
        if (isAhead) {
            state =
                    new MoveState(
                            MoveState.Phase.MOVING,
                            newer.step(),
                            newer.changedAt().toEpochMilli(),
                            countNewVersionCalls(),
                            MoveState.NOT_SUSPECTED,
                            0);
            share = getStepShare(newer.step());
        }
    }

    void record(RouteId route, VersionRole role, CallOutcome outcome, long nowMs) {
        recorder.record(route, role, outcome, nowMs);
    }

    /** Returns the share of a route's calls that the new version gets from this node. */
    synchronized double getShare(RouteId route) {
        if (knownEvidence.stop().isPresent()) {
            return 0;
        }
        boolean isProbed = probedRoute.filter(route::equals).isPresent();
        return isProbed ? RolloutVerdict.PROBE_SHARE : share;
    }

    /** Returns this node's own counts, and a stop if it knows of one. */
    synchronized MoveEvidence getLocalEvidence() {
        MoveEvidence own = recorder.snapshot();
        return knownEvidence.stop().map(own::stopped).orElse(own);
    }

    /**
     * Stops the new version if this node's own counts prove it bad; other nodes hear of it.
     *
     * @param nowMs wall-clock time in milliseconds
     * @param nodeCount nodes that judge alone, which share the false-alarm rate
     */
    synchronized void decideLocally(long nowMs, int nodeCount) {
        RolloutPlan alone =
                new RolloutPlan(
                        plan.startMs(),
                        plan.deadlineMs(),
                        plan.steps(),
                        plan.bakeMs(),
                        plan.falseAlarmRate() / nodeCount);
        RolloutVerdict verdict = decider.decide(alone, state, recorder.snapshot(), nowMs);
        boolean isProof = verdict.reason() != RolloutReason.DEADLINE_REACHED;
        if (verdict.state().phase() == MoveState.Phase.TAKEN_BACK && isProof) {
            knownEvidence = knownEvidence.stopped(new StopNotice(node, verdict.reason()));
        }
    }

    /** Joins what another node knows. */
    synchronized void merge(MoveEvidence evidence) {
        knownEvidence = knownEvidence.merge(evidence);
    }

    /** Decides for all nodes; only the node that gathers the counts calls this. */
    synchronized RolloutVerdict decideGlobally(long nowMs) {
        knownEvidence = knownEvidence.merge(recorder.snapshot());
        RolloutVerdict verdict = decider.decide(plan, state, knownEvidence, nowMs);
        if (verdict.state().phase() == MoveState.Phase.MOVING) {
            if (verdict.state().step() == state.step()) {
                state = verdict.state();
                share = verdict.otherShare();
                probedRoute = verdict.probedRoute();
            }
        } else if (verdict.state().phase() == MoveState.Phase.TAKEN_BACK) {
            knownEvidence = knownEvidence.stopped(new StopNotice(node, verdict.reason()));
        }
        return verdict;
    }

    /** Returns what the gathering node tells the others. */
    synchronized EvidenceAnswer createResponse() {
        EvidenceAnswer.Builder answer = EvidenceAnswer.newBuilder().setShare(share);
        probedRoute.ifPresent(route -> answer.setProbedRoute(route.value()));
        knownEvidence.stop().ifPresent(stop -> answer.setStop(EvidenceCodec.toMessage(stop)));
        return answer.build();
    }

    /** Takes what the gathering node told. */
    synchronized void applyResponse(EvidenceAnswer answer) {
        share = answer.getShare();
        probedRoute =
                Optional.of(answer.getProbedRoute())
                        .filter(route -> !route.isEmpty())
                        .map(RouteId::new);
        if (answer.hasStop()) {
            knownEvidence = knownEvidence.stopped(EvidenceCodec.toStop(answer.getStop()));
        }
    }

    private long countNewVersionCalls() {
        return knownEvidence.counts().entrySet().stream()
                .filter(entry -> entry.getKey().role() == VersionRole.NEW)
                .mapToLong(entry -> entry.getValue().calls())
                .sum();
    }

    private double getStepShare(int step) {
        return plan.steps().get(Math.min(step, plan.steps().size() - 1)).share();
    }
}
