package org.cardamomthread.daemon.duty;

import java.util.Optional;
import java.util.function.Predicate;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.id.VersionId;

/**
 * Tells which endpoints serve the usual traffic of a service at one point of a version move.
 * Immutable.
 */
final class MovePhase {

    /**
     * Time after the end of a move in which endpoints of the abandoned version may still be listed:
     * the platform stops them, and those that do not report it time out.
     */
    private static final long SETTLING_MS = 8_000;

    private static final MovePhase NO_MOVE = new MovePhase(version -> true, false);

    private final Predicate<VersionId> isUsable;
    private final boolean isMoving;

    private MovePhase(Predicate<VersionId> isUsable, boolean isMoving) {
        this.isUsable = isUsable;
        this.isMoving = isMoving;
    }

    /**
     * Returns the phase of a service.
     *
     * @param move the latest move of the service
     * @param wallClockMs wall clock time, in milliseconds since 1970
     */
    static MovePhase of(Optional<VersionMoveState> move, long wallClockMs) {
        if (move.isEmpty()) {
            return NO_MOVE;
        }
        VersionId target = new VersionId(move.get().getTarget());
        boolean isSettling = wallClockMs - move.get().getEndedAtMs() < SETTLING_MS;
        return switch (move.get().getStage()) {
            case RUNNING -> new MovePhase(version -> !version.equals(target), true);
            case TAKEN_BACK -> new MovePhase(version -> !version.equals(target), isSettling);
            case PROMOTED -> new MovePhase(target::equals, true);
            case DONE -> isSettling ? new MovePhase(target::equals, true) : NO_MOVE;
            default -> NO_MOVE;
        };
    }

    /** Returns whether an endpoint of a version serves the usual traffic. */
    boolean isUsable(VersionId version) {
        return isUsable.test(version);
    }

    /** Returns whether endpoints of both versions may be present. */
    boolean isMoving() {
        return isMoving;
    }
}
