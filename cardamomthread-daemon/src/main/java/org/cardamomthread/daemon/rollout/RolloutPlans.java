package org.cardamomthread.daemon.rollout;

import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.configuration.declaration.RolloutPolicy;
import org.cardamomthread.configuration.state.VersionMove;
import org.cardamomthread.policy.rollout.RolloutPlan;
import org.cardamomthread.policy.rollout.RolloutStep;

/** Creates rollout plans from declared rollout policies. Stateless and thread-safe. */
final class RolloutPlans {

    /**
     * The old version keeps the remaining calls as the baseline of the comparison until the move
     * ends.
     */
    private static final double MAX_NEW_VERSION_SHARE = 0.9;

    private static final double FIRST_STEP_TIME_WEIGHT = 4.0;
    private static final int FIRST_STEP_MIN_CALLS = 3;
    private static final double MAX_BAKE_TIME_FRACTION = 0.3;

    /**
     * Half of the false-alarm rate is for decisions on the collected counts, half for the local
     * decisions of nodes.
     */
    private static final double GLOBAL_FALSE_ALARM_FRACTION = 0.5;

    private RolloutPlans() {}

    /**
     * Creates the plan of a version move. The first step lasts longest, since faults that show late
     * affect few calls while the share is small.
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
        int minCalls = FIRST_STEP_MIN_CALLS;
        for (double declaredShare : policy.steps()) {
            double share = Math.min(declaredShare, MAX_NEW_VERSION_SHARE);
            double timeWeight = steps.isEmpty() ? FIRST_STEP_TIME_WEIGHT : 1.0;
            steps.add(new RolloutStep(share, timeWeight, minCalls));
            minCalls *= 2;
        }
        return steps;
    }
}
