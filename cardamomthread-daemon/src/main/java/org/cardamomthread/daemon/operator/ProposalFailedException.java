package org.cardamomthread.daemon.operator;

import org.cardamomthread.core.CardamomthreadException;

/** Reports that the configuration group gave no answer to a command. */
public final class ProposalFailedException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    private final boolean notAppended;

    /**
     * Creates an exception.
     *
     * @param message why there is no answer, and the remedy
     * @param certain true if the command certainly has no effect, now or later
     */
    public ProposalFailedException(String message, boolean certain) {
        super(message);
        this.notAppended = certain;
    }

    /**
     * Tells whether the command certainly has no effect.
     *
     * @return false if it may have been committed or may be later
     */
    public boolean isNotAppended() {
        return notAppended;
    }
}
