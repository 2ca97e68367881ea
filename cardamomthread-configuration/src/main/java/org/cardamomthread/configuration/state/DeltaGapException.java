package org.cardamomthread.configuration.state;

import org.cardamomthread.core.CardamomthreadException;

/**
 * Thrown if a delta starts after the revision of the view that it is applied to, so that changes in
 * between are missing.
 */
public final class DeltaGapException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    private final long viewRevision;

    DeltaGapException(long viewRevision, long deltaFromRevision) {
        super(
                "delta from revision "
                        + deltaFromRevision
                        + " leaves a gap after revision "
                        + viewRevision
                        + "; request a delta from revision "
                        + viewRevision);
        this.viewRevision = viewRevision;
    }

    /**
     * Returns the revision from which to request the next delta.
     *
     * @return the revision of the unchanged view
     */
    public long viewRevision() {
        return viewRevision;
    }
}
