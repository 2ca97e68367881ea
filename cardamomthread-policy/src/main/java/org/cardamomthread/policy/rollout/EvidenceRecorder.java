package org.cardamomthread.policy.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RouteId;

/**
 * Counts the calls that one node observes during a rollout.
 *
 * <p>Counts never decrease. Thread-safe: all methods synchronize on the recorder.
 */
public final class EvidenceRecorder {

    private final NodeId node;
    private final RolloutPlan plan;
    private final Map<EvidenceKey, CallCounts> counts = new HashMap<>();

    /**
     * Creates a recorder without any calls.
     *
     * @param node node that counts the calls
     * @param plan plan of the rollout, which defines the epochs
     */
    public EvidenceRecorder(NodeId node, RolloutPlan plan) {
        this.node = Objects.requireNonNull(node, "node must not be null");
        this.plan = Objects.requireNonNull(plan, "plan must not be null");
    }

    /**
     * Counts a finished call.
     *
     * @param route route of the call
     * @param role role of the called version
     * @param observation how the call ended
     * @param nowMs time of the end of the call, on the clock of the plan, in milliseconds
     */
    public synchronized void record(
            RouteId route, VersionRole role, CallObservation observation, long nowMs) {
        EvidenceKey key = new EvidenceKey(node, route, role, plan.epochAt(nowMs));
        counts.merge(key, observation.counts(), CallCounts::plus);
    }

    /**
     * Returns the evidence counted so far.
     *
     * @return an immutable copy
     */
    public synchronized RolloutEvidence snapshot() {
        return RolloutEvidence.of(counts);
    }
}
