package org.cardamomthread.replication;

import org.cardamomthread.core.CardamomthreadException;

/** Reports that a group did not do what was asked of it. */
public abstract class ReplicationException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong and the remedy
     */
    protected ReplicationException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message what is wrong and the remedy
     * @param cause the failure that led to this one
     */
    protected ReplicationException(String message, Throwable cause) {
        super(message, cause);
    }

    /**
     * Tells whether the command is certain not to be in the log.
     *
     * @return true if the command was not appended and never will be by this call
     */
    public abstract boolean isNotAppended();
}
