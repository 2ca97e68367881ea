package org.cardamomthread.policy.rollout;

/**
 * Holds how far a move has come.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param phase whether the move goes on
 * @param step index of the step, from zero
 * @param stepSinceMs when the step began, in milliseconds
 * @param callsBeforeStep calls to the new version before the step
 * @param suspectedSinceMs when the present suspicion arose, or {@link #NOT_SUSPECTED}
 * @param callsBeforeSuspicion calls to the new version before the suspicion
 */
public record MoveState(
        Phase phase,
        int step,
        long stepSinceMs,
        long callsBeforeStep,
        long suspectedSinceMs,
        long callsBeforeSuspicion) {

    /** Value of {@link #suspectedSinceMs()} without suspicion. */
    public static final long NOT_SUSPECTED = -1;

    /** Names whether a move goes on. Immutable. */
    public enum Phase {
        /** Both versions get calls. */
        MOVING,
        /** The new version serves all calls. */
        DONE,
        /** The old version serves all calls again. */
        TAKEN_BACK
    }

    /**
     * Returns the state at the start of a move.
     *
     * @param plan the move
     * @return the first step
     */
    public static MoveState start(RolloutPlan plan) {
        return new MoveState(Phase.MOVING, 0, plan.startMs(), 0, NOT_SUSPECTED, 0);
    }

    /**
     * Tells whether something speaks against the new version at present.
     *
     * @return true during a suspicion
     */
    public boolean suspected() {
        return suspectedSinceMs != NOT_SUSPECTED;
    }

    MoveState ended(Phase newPhase) {
        return new MoveState(newPhase, step, stepSinceMs, callsBeforeStep, NOT_SUSPECTED, 0);
    }

    MoveState suspected(long nowMs, long newCalls) {
        return new MoveState(phase, step, stepSinceMs, callsBeforeStep, nowMs, newCalls);
    }

    MoveState cleared() {
        return new MoveState(phase, step, stepSinceMs, callsBeforeStep, NOT_SUSPECTED, 0);
    }

    MoveState nextStep(long nowMs, long newCalls) {
        return new MoveState(phase, step + 1, nowMs, newCalls, NOT_SUSPECTED, 0);
    }
}
