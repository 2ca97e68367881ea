package org.cardamomthread.daemon.dialect;

import org.cardamomthread.core.CardamomthreadException;

/** Thrown when a message of the platform does not conform to its protocol. */
public final class MalformedMessageException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception for an invalid message.
     *
     * @param detail the part of the message that is invalid and what was expected
     */
    public MalformedMessageException(String detail) {
        super(detail);
    }

    /**
     * Creates an exception for an invalid message.
     *
     * @param detail the part of the message that is invalid and what was expected
     * @param cause the underlying failure
     */
    public MalformedMessageException(String detail, Throwable cause) {
        super(detail, cause);
    }
}
