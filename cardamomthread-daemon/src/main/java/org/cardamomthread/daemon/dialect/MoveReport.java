package org.cardamomthread.daemon.dialect;

import org.cardamomthread.core.id.VersionId;

/**
 * Holds the state of a version move for operators. Immutable.
 *
 * @param target the version moved to
 * @param state how far it is
 */
public record MoveReport(VersionId target, State state) {

    /** Says how far a move is. */
    public enum State {
        /** Traffic is being moved. */
        RUNNING,
        /** All traffic goes to the target. */
        DONE,
        /** All traffic goes to the former version again. */
        ROLLED_BACK
    }
}
