package org.cardamomthread.configuration.state;

import java.time.Instant;
import java.util.Objects;
import org.cardamomthread.core.id.OperationId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Describes the move of a service from one version to another.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id, that of the operation which started the move
 * @param service the service
 * @param from the version that the service had
 * @param to the version that it is to have
 * @param deadline when the move must be done
 * @param startedAt when it was started
 * @param state whether it runs or how it ended
 * @param step index of the step reached in the rollout policy of the service
 * @param changedAt when the step was reached or the move ended
 * @param reason why it ended, empty while it runs
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

    /** Whether a move runs or how it ended. */
    public enum State {
        /** It goes forward step by step. */
        RUNNING,
        /** The service has the new version. */
        DONE,
        /** The service has kept the earlier version. */
        TAKEN_BACK
    }

    /** Checks the arguments. */
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
     * Tells whether the move runs.
     *
     * @return true until it is done or taken back
     */
    public boolean isRunning() {
        return state == State.RUNNING;
    }

    VersionMove withStep(int nextStep, Instant at) {
        return new VersionMove(
                id, service, from, to, deadline, startedAt, state, nextStep, at, reason);
    }

    VersionMove withEndState(State end, Instant at, String why) {
        return new VersionMove(id, service, from, to, deadline, startedAt, end, step, at, why);
    }
}
