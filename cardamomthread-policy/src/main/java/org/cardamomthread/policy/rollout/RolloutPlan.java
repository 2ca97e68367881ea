package org.cardamomthread.policy.rollout;

import java.util.List;

/**
 * States how a version move proceeds.
 *
 * <p>Immutable and safe for use by several threads. Times are on one clock that all nodes share, in
 * milliseconds. The last step's share is kept during the bake time; the old version keeps the rest
 * as control until the move ends.
 *
 * @param startMs start of the move
 * @param deadlineMs time by which the move must be done or taken back
 * @param steps shares in rising order
 * @param bakeMs time for which the last share is held
 * @param falseAlarmRate greatest probability of taking back a version that is as good as the old
 */
public record RolloutPlan(
        long startMs,
        long deadlineMs,
        List<RolloutStep> steps,
        long bakeMs,
        double falseAlarmRate) {

    /** Periods into which the time of a move is divided for comparison. */
    public static final int EPOCHS = 128;

    private static final long SHORTEST_EPOCH_MS = 5_000;
    private static final double DEFAULT_BAKE_SHARE = 0.2;
    private static final double DEFAULT_SPARE_SHARE = 0.05; // of the time, before the deadline
    private static final double DEFAULT_FALSE_ALARM_RATE = 0.01;
    private static final List<RolloutStep> DEFAULT_STEPS =
            List.of(
                    new RolloutStep(0.005, 0.79, 3),
                    new RolloutStep(0.02, 0.08, 5),
                    new RolloutStep(0.08, 0.04, 8),
                    new RolloutStep(0.25, 0.04, 12),
                    new RolloutStep(0.90, 0.05, 40));

    /** Checks the parts. */
    public RolloutPlan {
        steps = List.copyOf(steps);
        if (steps.isEmpty() || bakeMs < 0 || deadlineMs - startMs <= bakeMs) {
            throw new IllegalArgumentException(
                    "a move needs a step and a deadline more than bakeMs after its start, got "
                            + steps.size()
                            + " steps, "
                            + (deadlineMs - startMs)
                            + " ms and bakeMs "
                            + bakeMs);
        }
        if (!(falseAlarmRate > 0 && falseAlarmRate < 1)) {
            throw new IllegalArgumentException(
                    "falseAlarmRate " + falseAlarmRate + " must lie between 0 and 1");
        }
    }

    /**
     * Returns the usual plan for a move: long at a small share, where late faults show cheaply,
     * then quickly up.
     *
     * @param startMs start of the move, in milliseconds
     * @param deadlineMs deadline, in milliseconds
     * @return the plan
     */
    public static RolloutPlan until(long startMs, long deadlineMs) {
        long bakeMs = (long) ((deadlineMs - startMs) * DEFAULT_BAKE_SHARE);
        return new RolloutPlan(
                startMs, deadlineMs, DEFAULT_STEPS, bakeMs, DEFAULT_FALSE_ALARM_RATE);
    }

    /**
     * Returns the length of the periods in which calls are counted.
     *
     * @return milliseconds
     */
    public long epochMs() {
        return Math.max(SHORTEST_EPOCH_MS, (deadlineMs - startMs) / EPOCHS + 1);
    }

    /**
     * Returns the period that a time lies in.
     *
     * @param nowMs the time, in milliseconds
     * @return zero to {@link #EPOCHS} - 1
     */
    public int epochAt(long nowMs) {
        long epoch = Math.max(0, nowMs - startMs) / epochMs();
        return (int) Math.min(EPOCHS - 1, epoch);
    }

    /** Returns how long a step is held, in milliseconds. */
    long stepMs(int index) {
        double usableMs = (deadlineMs - startMs) * (1 - DEFAULT_SPARE_SHARE) - bakeMs;
        double sum = steps.stream().mapToDouble(RolloutStep::timeShare).sum();
        return (long) (Math.max(0, usableMs) * steps.get(index).timeShare() / sum);
    }
}
