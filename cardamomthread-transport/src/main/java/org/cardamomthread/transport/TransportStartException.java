package org.cardamomthread.transport;

import java.net.InetSocketAddress;
import org.cardamomthread.core.CardamomthreadException;

/** Thrown when the peer listener cannot be opened. */
public final class TransportStartException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    TransportStartException(InetSocketAddress listen, Throwable cause) {
        super(
                "the peer listener at "
                        + listen
                        + " could not be opened ("
                        + cause.getMessage()
                        + "): choose a free port and an address of this host in the settings",
                cause);
    }
}
