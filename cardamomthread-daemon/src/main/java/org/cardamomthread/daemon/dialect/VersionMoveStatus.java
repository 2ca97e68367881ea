package org.cardamomthread.daemon.dialect;

import org.cardamomthread.core.id.VersionId;

/**
 * Holds the state of a version move as reported to operators. Immutable.
 *
 * @param target the version that the traffic moves to
 * @param state the progress of the move
 */
public record VersionMoveStatus(VersionId target, State state) {

    /** Enumerates the states of a version move. */
    public enum State {
        /** Traffic is being moved to the target version. */
        RUNNING,
        /** All traffic goes to the target version. */
        DONE,
        /** The move was rolled back: all traffic goes to the former version again. */
        ROLLED_BACK
    }
}
