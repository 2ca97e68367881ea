package org.cardamomthread.policy.rollout;

/**
 * Holds the progress of a rollout.
 *
 * <p>Immutable and thread-safe.
 *
 * @param phase whether the rollout is in progress or how it ended
 * @param step index of the current step, from zero
 * @param stepStartedAtMs time when the step started, in milliseconds
 * @param callsBeforeStep number of calls to the new version before the step
 * @param suspectedSinceMs time when the current suspicion was raised, in milliseconds, or {@link
 *     #NOT_SUSPECTED}
 * @param callsBeforeSuspicion number of calls to the new version before the suspicion was raised
 */
public record RolloutState(
        Phase phase,
        int step,
        long stepStartedAtMs,
        long callsBeforeStep,
        long suspectedSinceMs,
        long callsBeforeSuspicion) {

    /** Value of {@link #suspectedSinceMs()} if the new version is not suspected. */
    public static final long NOT_SUSPECTED = -1;

    /** Phases of a rollout. */
    public enum Phase {
        /** Both versions receive calls. */
        IN_PROGRESS,
        /** The new version serves all calls. */
        COMPLETED,
        /** The rollout was rolled back: the old version serves all calls again. */
        ROLLED_BACK
    }

    /**
     * Returns the initial state of a rollout.
     *
     * @param plan plan of the rollout
     * @return state at the start of the first step
     */
    public static RolloutState start(RolloutPlan plan) {
        return new RolloutState(Phase.IN_PROGRESS, 0, plan.startMs(), 0, NOT_SUSPECTED, 0);
    }

    /**
     * Returns whether the new version is currently suspected of a fault.
     *
     * @return true while the suspicion is being probed
     */
    public boolean isSuspected() {
        return suspectedSinceMs != NOT_SUSPECTED;
    }

    RolloutState withEnd(Phase newPhase) {
        return new RolloutState(newPhase, step, stepStartedAtMs, callsBeforeStep, NOT_SUSPECTED, 0);
    }

    RolloutState withSuspicion(long nowMs, long newCalls) {
        return new RolloutState(phase, step, stepStartedAtMs, callsBeforeStep, nowMs, newCalls);
    }

    RolloutState withoutSuspicion() {
        return new RolloutState(phase, step, stepStartedAtMs, callsBeforeStep, NOT_SUSPECTED, 0);
    }

    RolloutState withNextStep(long nowMs, long newCalls) {
        return new RolloutState(phase, step + 1, nowMs, newCalls, NOT_SUSPECTED, 0);
    }
}
