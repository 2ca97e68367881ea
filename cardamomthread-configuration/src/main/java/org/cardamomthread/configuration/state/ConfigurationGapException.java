package org.cardamomthread.configuration.state;

import org.cardamomthread.core.CardamomthreadException;

/** Reports a delta that begins after the revision of the view it was to be applied to. */
public final class ConfigurationGapException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    private final long viewRevision;

    ConfigurationGapException(long heldRevision, long fromRevision) {
        super(
                "delta from revision "
                        + fromRevision
                        + " leaves a gap after revision "
                        + heldRevision
                        + "; ask the sender for a delta from revision "
                        + heldRevision);
        this.viewRevision = heldRevision;
    }

    /**
     * Returns the revision to ask a delta from.
     *
     * @return the revision of the view
     */
    public long viewRevision() {
        return viewRevision;
    }
}
