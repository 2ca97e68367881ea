package org.cardamomthread.transport;

import org.cardamomthread.core.CardamomthreadException;

/** Reports a request to a peer that got no response. */
public abstract class PeerException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    PeerException(String message) {
        super(message);
    }
}
