package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.CardamomthreadException;

/** Thrown if a caller's request is malformed; the message states what is required. */
final class InvalidRequestException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    InvalidRequestException(String message) {
        super(message);
    }
}
