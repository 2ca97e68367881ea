package org.cardamomthread.policy.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RouteId;

/**
 * Counts the calls that one node sees during a move.
 *
 * <p>Invariant: counts only grow. Safe for use by several threads; all methods lock the recorder.
 */
public final class EvidenceRecorder {

    private final NodeId node;
    private final RolloutPlan plan;
    private final Map<EvidenceKey, CallCounts> counts = new HashMap<>();

    /**
     * Creates a recorder without calls.
     *
     * @param node the node that counts
     * @param plan the move
     */
    public EvidenceRecorder(NodeId node, RolloutPlan plan) {
        this.node = Objects.requireNonNull(node, "node must be given");
        this.plan = Objects.requireNonNull(plan, "plan must be given");
    }

    /**
     * Counts a call.
     *
     * @param route the route of the call
     * @param role the version's part in the move
     * @param outcome how the call ended
     * @param nowMs time of the end of the call, on the clock of the plan, in milliseconds
     */
    public synchronized void record(
            RouteId route, VersionRole role, CallOutcome outcome, long nowMs) {
        EvidenceKey key = new EvidenceKey(node, route, role, plan.epochAt(nowMs));
        counts.merge(key, outcome.counts(), CallCounts::plus);
    }

    /**
     * Returns what was counted so far.
     *
     * @return an immutable copy
     */
    public synchronized MoveEvidence snapshot() {
        return MoveEvidence.of(counts);
    }
}
