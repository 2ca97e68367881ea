package org.cardamomthread.configuration.state;

import java.time.Instant;
import java.util.Objects;
import org.cardamomthread.core.id.OperationId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Describes the rollout of a new version of a service, which replaces the current version in steps.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id id of the move, equal to the id of the operation that started it
 * @param service id of the service
 * @param from version before the move
 * @param to version after the move
 * @param deadline latest time at which the move can complete
 * @param startedAt when the move was started
 * @param state whether the move is running, or how it ended
 * @param step index of the current step in the rollout policy of the service
 * @param changedAt when the current step was reached or the move ended
 * @param reason why the move ended, empty while it is running
 */
public record VersionMove(
        OperationId id,
        ServiceId service,
        VersionId from,
        VersionId to,
        Instant deadline,
        Instant startedAt,
        State state,
        int step,
        Instant changedAt,
        String reason) {

    /** Whether a move is running, or how it ended. */
    public enum State {
        /** The move is running and advances step by step. */
        RUNNING,
        /** The move is complete: the new version is the current version of the service. */
        DONE,
        /** The move was rolled back: the service keeps its earlier version. */
        ROLLED_BACK;

        /**
         * Returns the name of the state in rejections. These are stored in snapshots, so the text
         * must be the same in every release.
         */
        @Override
        public String toString() {
            return this == ROLLED_BACK ? "TAKEN_BACK" : name();
        }
    }

    /** Validates the components. */
    public VersionMove {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(from, "from must not be null");
        Objects.requireNonNull(to, "to must not be null");
        Objects.requireNonNull(deadline, "deadline must not be null");
        Objects.requireNonNull(startedAt, "startedAt must not be null");
        Objects.requireNonNull(state, "state must not be null");
        Objects.requireNonNull(changedAt, "changedAt must not be null");
        Objects.requireNonNull(reason, "reason must not be null");
    }

    /**
     * Returns whether the move is running.
     *
     * @return true until the move is complete or rolled back
     */
    public boolean isRunning() {
        return state == State.RUNNING;
    }

    VersionMove withStep(int newStep, Instant at) {
        return new VersionMove(
                id, service, from, to, deadline, startedAt, state, newStep, at, reason);
    }

    VersionMove withEndState(State endState, Instant at, String endReason) {
        return new VersionMove(
                id, service, from, to, deadline, startedAt, endState, step, at, endReason);
    }
}
