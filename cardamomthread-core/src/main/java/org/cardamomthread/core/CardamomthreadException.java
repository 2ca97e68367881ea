package org.cardamomthread.core;

/**
 * Reports a failure that the caller is expected to handle.
 *
 * <p>Each slice has its own subclasses. The message states what is wrong and names the remedy.
 */
public abstract class CardamomthreadException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong and the remedy
     */
    protected CardamomthreadException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message what is wrong and the remedy
     * @param cause the failure that led to this one
     */
    protected CardamomthreadException(String message, Throwable cause) {
        super(message, cause);
    }
}
