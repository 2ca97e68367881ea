package org.cardamomthread.replication;

import org.cardamomthread.core.CardamomthreadException;

/** Indicates that a replication group did not complete a request. */
public abstract class ReplicationException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the reason and the remedy
     */
    protected ReplicationException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message the reason and the remedy
     * @param cause the failure that caused this exception
     */
    protected ReplicationException(String message, Throwable cause) {
        super(message, cause);
    }

    /**
     * Returns whether the command is guaranteed not to be in the log.
     *
     * @return true if this request did not append the command and never will; false if it may have
     *     been appended
     */
    public abstract boolean isGuaranteedNotAppended();
}
