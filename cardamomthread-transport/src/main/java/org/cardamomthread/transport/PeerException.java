package org.cardamomthread.transport;

import org.cardamomthread.core.CardamomthreadException;

/** Thrown when a request to a peer fails without a response. */
public abstract class PeerException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    PeerException(String message) {
        super(message);
    }
}
