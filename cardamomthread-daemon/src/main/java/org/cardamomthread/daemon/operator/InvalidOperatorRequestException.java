package org.cardamomthread.daemon.operator;

import org.cardamomthread.core.CardamomthreadException;

/** Thrown if an operator request is malformed; carries the remedy. */
final class InvalidOperatorRequestException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    private final String remedy;

    InvalidOperatorRequestException(String detail, String remedy) {
        super(detail);
        this.remedy = remedy;
    }

    String remedy() {
        return remedy;
    }
}
