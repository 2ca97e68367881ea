package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.CardamomthreadException;

/** Thrown if an endpoint's response violates the expected protocol. */
final class MalformedResponseException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    MalformedResponseException(String message) {
        super(message);
    }

    MalformedResponseException(String message, Throwable cause) {
        super(message, cause);
    }
}
