package org.cardamomthread.transport;

import java.net.InetSocketAddress;
import org.cardamomthread.core.CardamomthreadException;

/** Reports that the peer listener could not be opened. */
public final class TransportStartException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    TransportStartException(InetSocketAddress listen, Throwable cause) {
        super(
                "peer listener "
                        + listen
                        + " could not be opened ("
                        + cause.getMessage()
                        + "): choose a free port and an address of this host in the settings",
                cause);
    }
}
