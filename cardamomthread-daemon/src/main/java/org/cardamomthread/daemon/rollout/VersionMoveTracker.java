package org.cardamomthread.daemon.rollout;

import java.util.Optional;
import org.cardamomthread.configuration.state.VersionMove;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.daemon.generated.EvidenceAnswer;
import org.cardamomthread.policy.rollout.CallObservation;
import org.cardamomthread.policy.rollout.EvidenceRecorder;
import org.cardamomthread.policy.rollout.RolloutDecider;
import org.cardamomthread.policy.rollout.RolloutDecision;
import org.cardamomthread.policy.rollout.RolloutEvidence;
import org.cardamomthread.policy.rollout.RolloutPlan;
import org.cardamomthread.policy.rollout.RolloutReason;
import org.cardamomthread.policy.rollout.RolloutState;
import org.cardamomthread.policy.rollout.StopNotice;
import org.cardamomthread.policy.rollout.VersionRole;

/**
 * Tracks one running version move on one node: its state, the counts of calls and the share of the
 * new version.
 *
 * <p>Invariants: the counts never decrease; once the new version has been stopped, its share on
 * this node stays zero. Thread-safe.
 */
final class VersionMoveTracker {

    private final NodeId node;
    private final RolloutPlan plan;
    private final RolloutDecider decider;
    private final EvidenceRecorder recorder;
    private VersionMove move;
    private RolloutState state;
    private RolloutEvidence knownEvidence = RolloutEvidence.EMPTY;
    private double share;
    private Optional<RouteId> probedRoute = Optional.empty();

    VersionMoveTracker(NodeId node, VersionMove move, RolloutPlan plan, RolloutDecider decider) {
        this.node = node;
        this.plan = plan;
        this.decider = decider;
        this.recorder = new EvidenceRecorder(node, plan);
        this.move = move;
        this.state = RolloutState.start(plan);
        this.share = getStepShare(move.step());
        update(move);
    }

    synchronized VersionMove getMove() {
        return move;
    }

    /** Updates the move and its step from the replicated configuration. */
    synchronized void update(VersionMove updatedMove) {
        boolean isAhead = updatedMove.step() > state.step();
        move = updatedMove;
        if (isAhead) {
            state =
                    new RolloutState(
                            RolloutState.Phase.IN_PROGRESS,
                            updatedMove.step(),
                            updatedMove.changedAt().toEpochMilli(),
                            countNewVersionCalls(),
                            RolloutState.NOT_SUSPECTED,
                            0);
            share = getStepShare(updatedMove.step());
        }
    }

    void record(RouteId route, VersionRole role, CallObservation observation, long nowMs) {
        recorder.record(route, role, observation, nowMs);
    }

    /** Returns the share of a route's calls that this node sends to the new version. */
    synchronized double getShare(RouteId route) {
        if (knownEvidence.stop().isPresent()) {
            return 0;
        }
        boolean isProbed = probedRoute.filter(route::equals).isPresent();
        return isProbed ? RolloutDecision.PROBE_SHARE : share;
    }

    /** Returns this node's own counts, with the stop notice if one is known. */
    synchronized RolloutEvidence getLocalEvidence() {
        RolloutEvidence own = recorder.snapshot();
        return knownEvidence.stop().map(own::withStop).orElse(own);
    }

    /**
     * Stops the new version if this node's own counts alone prove it faulty; other nodes learn of
     * the stop from the evidence that this node reports.
     *
     * @param nowMs the wall-clock time in milliseconds
     * @param nodeCount the number of nodes that decide locally and share the false-alarm rate
     */
    synchronized void decideLocally(long nowMs, int nodeCount) {
        RolloutPlan localPlan =
                new RolloutPlan(
                        plan.startMs(),
                        plan.deadlineMs(),
                        plan.steps(),
                        plan.bakeMs(),
                        plan.falseAlarmRate() / nodeCount);
        RolloutDecision decision = decider.decide(localPlan, state, recorder.snapshot(), nowMs);
        boolean isProvenFaulty = decision.reason() != RolloutReason.DEADLINE_REACHED;
        if (decision.state().phase() == RolloutState.Phase.ROLLED_BACK && isProvenFaulty) {
            knownEvidence = knownEvidence.withStop(new StopNotice(node, decision.reason()));
        }
    }

    /** Merges the evidence of another node. */
    synchronized void merge(RolloutEvidence evidence) {
        knownEvidence = knownEvidence.merge(evidence);
    }

    /** Decides for all nodes; called only on the node that collects the counts. */
    synchronized RolloutDecision decideGlobally(long nowMs) {
        knownEvidence = knownEvidence.merge(recorder.snapshot());
        RolloutDecision decision = decider.decide(plan, state, knownEvidence, nowMs);
        if (decision.state().phase() == RolloutState.Phase.IN_PROGRESS) {
            if (decision.state().step() == state.step()) {
                state = decision.state();
                share = decision.unprobedShare();
                probedRoute = decision.probedRoute();
            }
        } else if (decision.state().phase() == RolloutState.Phase.ROLLED_BACK) {
            knownEvidence = knownEvidence.withStop(new StopNotice(node, decision.reason()));
        }
        return decision;
    }

    /** Returns the response of the collecting node to a node that reported counts. */
    synchronized EvidenceAnswer createResponse() {
        EvidenceAnswer.Builder response = EvidenceAnswer.newBuilder().setShare(share);
        probedRoute.ifPresent(route -> response.setProbedRoute(route.value()));
        knownEvidence.stop().ifPresent(stop -> response.setStop(EvidenceCodec.toMessage(stop)));
        return response.build();
    }

    /** Applies the response of the collecting node. */
    synchronized void applyResponse(EvidenceAnswer response) {
        share = response.getShare();
        probedRoute =
                Optional.of(response.getProbedRoute())
                        .filter(route -> !route.isEmpty())
                        .map(RouteId::new);
        if (response.hasStop()) {
            knownEvidence = knownEvidence.withStop(EvidenceCodec.toStop(response.getStop()));
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
