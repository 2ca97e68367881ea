package org.cardamomthread.configuration.traffic;

import org.cardamomthread.core.CardamomthreadException;

/** Thrown if a traffic document is invalid and cannot be applied. */
public final class InvalidTrafficDocumentException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param detail what is wrong and how to correct it
     */
    public InvalidTrafficDocumentException(String detail) {
        super(detail);
    }
}
