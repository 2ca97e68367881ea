package org.cardamomthread.core;

/**
 * Base class of checked exceptions, which callers are expected to handle.
 *
 * <p>Each module defines its own subclasses. The message states what is wrong and how to fix it.
 */
public abstract class CardamomthreadException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message description of the failure and its remedy
     */
    protected CardamomthreadException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message description of the failure and its remedy
     * @param cause the failure that led to this one
     */
    protected CardamomthreadException(String message, Throwable cause) {
        super(message, cause);
    }
}
