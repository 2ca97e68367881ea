package org.cardamomthread.daemon.membership;

import org.cardamomthread.core.CardamomthreadException;

/** Thrown if an announcement is malformed; the message states what is expected. */
final class InvalidAnnouncementException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    InvalidAnnouncementException(String message, Throwable cause) {
        super(message, cause);
    }
}
