package org.cardamomthread.daemon.operator;

import org.cardamomthread.core.CardamomthreadException;

/** Thrown if the configuration group returned no result for a command. */
public final class ProposalFailedException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    private final boolean notAppended;

    /**
     * Creates an exception.
     *
     * @param message why there is no result, and the remedy
     * @param notAppended true if the command is certainly not in the log and will have no effect
     *     later either
     */
    public ProposalFailedException(String message, boolean notAppended) {
        super(message);
        this.notAppended = notAppended;
    }

    /**
     * Returns whether the command certainly has no effect.
     *
     * @return false if it may have been committed or may be committed later
     */
    public boolean isNotAppended() {
        return notAppended;
    }
}
