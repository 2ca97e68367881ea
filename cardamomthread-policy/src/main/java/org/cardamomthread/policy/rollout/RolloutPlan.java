package org.cardamomthread.policy.rollout;

import java.util.List;

/**
 * Defines the schedule of a rollout.
 *
 * <p>Immutable and thread-safe. All times are in milliseconds on one clock that all nodes share.
 * The share of the last step is kept during the bake time; the old version serves the remaining
 * calls as the control group until the rollout ends.
 *
 * @param startMs start of the rollout
 * @param deadlineMs time by which the rollout must be complete or rolled back
 * @param steps steps in the order of rising shares, at least one
 * @param bakeMs time for which the last share is held after the last step, at least zero
 * @param falseAlarmRate maximum probability of rolling back a version that is as good as the old
 *     one
 */
public record RolloutPlan(
        long startMs,
        long deadlineMs,
        List<RolloutStep> steps,
        long bakeMs,
        double falseAlarmRate) {

    /** Maximum number of epochs, the periods in which calls are counted and compared. */
    public static final int EPOCHS = 128;

    private static final long MIN_EPOCH_MS = 5_000;
    private static final double DEFAULT_BAKE_SHARE = 0.2;

    /** Share of the time that is kept free before the deadline. */
    private static final double DEFAULT_SLACK_SHARE = 0.05;

    private static final double DEFAULT_FALSE_ALARM_RATE = 0.01;
    private static final List<RolloutStep> DEFAULT_STEPS =
            List.of(
                    new RolloutStep(0.005, 0.79, 3),
                    new RolloutStep(0.02, 0.08, 5),
                    new RolloutStep(0.08, 0.04, 8),
                    new RolloutStep(0.25, 0.04, 12),
                    new RolloutStep(0.90, 0.05, 40));

    /** Validates the components. */
    public RolloutPlan {
        steps = List.copyOf(steps);
        if (steps.isEmpty() || bakeMs < 0 || deadlineMs - startMs <= bakeMs) {
            throw new IllegalArgumentException(
                    "a rollout needs at least one step and a deadline more than bakeMs after its"
                            + " start, got "
                            + steps.size()
                            + " steps, "
                            + (deadlineMs - startMs)
                            + " ms and bakeMs "
                            + bakeMs);
        }
        if (!(falseAlarmRate > 0 && falseAlarmRate < 1)) {
            throw new IllegalArgumentException(
                    "falseAlarmRate " + falseAlarmRate + " must be greater than 0 and less than 1");
        }
    }

    /**
     * Returns the default plan for a deadline. Most of the time is spent at a small share, where a
     * late fault affects few calls; the share then rises quickly.
     *
     * @param startMs start of the rollout, in milliseconds
     * @param deadlineMs deadline of the rollout, in milliseconds
     * @return plan with the default steps
     */
    public static RolloutPlan withDefaultSteps(long startMs, long deadlineMs) {
        long bakeMs = (long) ((deadlineMs - startMs) * DEFAULT_BAKE_SHARE);
        return new RolloutPlan(
                startMs, deadlineMs, DEFAULT_STEPS, bakeMs, DEFAULT_FALSE_ALARM_RATE);
    }

    /**
     * Returns the length of an epoch.
     *
     * @return length in milliseconds
     */
    public long epochMs() {
        return Math.max(MIN_EPOCH_MS, (deadlineMs - startMs) / EPOCHS + 1);
    }

    /**
     * Returns the index of the epoch that contains a time; later times belong to the last epoch.
     *
     * @param nowMs time, in milliseconds
     * @return index from zero to {@link #EPOCHS} - 1
     */
    public int epochAt(long nowMs) {
        long epoch = Math.max(0, nowMs - startMs) / epochMs();
        return (int) Math.min(EPOCHS - 1, epoch);
    }

    /** Returns the duration of a step, in milliseconds. */
    long stepDurationMs(int index) {
        double usableMs = (deadlineMs - startMs) * (1 - DEFAULT_SLACK_SHARE) - bakeMs;
        double totalTimeWeight = steps.stream().mapToDouble(RolloutStep::timeWeight).sum();
        return (long) (Math.max(0, usableMs) * steps.get(index).timeWeight() / totalTimeWeight);
    }
}
