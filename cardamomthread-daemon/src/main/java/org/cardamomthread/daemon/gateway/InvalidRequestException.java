package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.CardamomthreadException;

/** Reports that a caller's request cannot be understood; the message says what must hold. */
final class InvalidRequestException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    InvalidRequestException(String message) {
        super(message);
    }
}
