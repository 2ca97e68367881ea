package org.cardamomthread.transport;

import org.cardamomthread.core.CardamomthreadException;

/** Reports a handshake that does not prove the peer's identity. */
final class HandshakeException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    HandshakeException(String message) {
        super(message);
    }
}
