package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.CardamomthreadException;

/** Reports that an endpoint's answer breaks its protocol. */
final class MalformedAnswerException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    MalformedAnswerException(String message) {
        super(message);
    }

    MalformedAnswerException(String message, Throwable cause) {
        super(message, cause);
    }
}
