package org.cardamomthread.daemon.dialect;

import org.cardamomthread.core.CardamomthreadException;

/** Reports that a message of the platform has not the form that its protocol gives. */
public final class MalformedMessageException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param detail what is wrong with the message
     */
    public MalformedMessageException(String detail) {
        super(detail);
    }

    /**
     * Creates an exception.
     *
     * @param detail what is wrong with the message
     * @param cause the failure below
     */
    public MalformedMessageException(String detail, Throwable cause) {
        super(detail, cause);
    }
}
