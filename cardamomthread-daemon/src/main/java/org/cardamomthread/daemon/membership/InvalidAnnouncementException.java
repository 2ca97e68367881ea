package org.cardamomthread.daemon.membership;

import org.cardamomthread.core.CardamomthreadException;

/** Reports that an announcement has no legal form; the message says what must hold. */
final class InvalidAnnouncementException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    InvalidAnnouncementException(String message, Throwable cause) {
        super(message, cause);
    }
}
