package org.cardamomthread.configuration.traffic;

import org.cardamomthread.core.CardamomthreadException;

/** Reports that a traffic document cannot be put in force. */
public final class InvalidTrafficException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param detail what is wrong and how to correct it
     */
    public InvalidTrafficException(String detail) {
        super(detail);
    }
}
