package org.cardamomthread.transport;

import org.cardamomthread.core.CardamomthreadException;

/** Thrown when a handshake is malformed, refused or does not prove the identity of the peer. */
final class HandshakeException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    HandshakeException(String message) {
        super(message);
    }
}
