package org.cardamomthread.daemon.rollout;

import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.configuration.declaration.RolloutPolicy;
import org.cardamomthread.configuration.state.VersionMove;
import org.cardamomthread.policy.rollout.RolloutPlan;
import org.cardamomthread.policy.rollout.RolloutStep;

/** Turns declared rollout policies into plans. Stateless and safe for use by several threads. */
final class RolloutPlans {

    /** The old version keeps the rest as control until the move ends. */
    private static final double MAX_NEW_VERSION_SHARE = 0.9;

    private static final double FIRST_STEP_TIME_WEIGHT = 4.0;
    private static final int FIRST_STEP_MIN_CALLS = 3;
    private static final double MAX_BAKE_TIME_FRACTION = 0.3;

    /** Half of the rate is for the gathered counts, half for the nodes that judge alone. */
    private static final double GLOBAL_FALSE_ALARM_FRACTION = 0.5;

    private RolloutPlans() {}

    /**
     * Creates the plan of a move. The first step is held longest, since late faults show cheaply at
     * a small share.
     */
    static RolloutPlan create(VersionMove move, RolloutPolicy policy) {
        long startMs = move.startedAt().toEpochMilli();
        long deadlineMs = Math.max(move.deadline().toEpochMilli(), startMs + 1);
        long bakeMs =
                Math.min(policy.bakeMs(), (long) ((deadlineMs - startMs) * MAX_BAKE_TIME_FRACTION));
        return new RolloutPlan(
                startMs,
                deadlineMs,
                createSteps(policy),
                bakeMs,
                policy.falseAlarmRate() * GLOBAL_FALSE_ALARM_FRACTION);
    }

    private static List<RolloutStep> createSteps(RolloutPolicy policy) {
        List<RolloutStep> steps = new ArrayList<>();
        int leastCalls = FIRST_STEP_MIN_CALLS;
        for (double declared : policy.steps()) {
            double share = Math.min(declared, MAX_NEW_VERSION_SHARE);
            double timeShare = steps.isEmpty() ? FIRST_STEP_TIME_WEIGHT : 1.0;
            steps.add(new RolloutStep(share, timeShare, leastCalls));
            leastCalls *= 2;
        }
        return steps;
    }
}
