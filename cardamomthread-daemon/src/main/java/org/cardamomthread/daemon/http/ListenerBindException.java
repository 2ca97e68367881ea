package org.cardamomthread.daemon.http;

import java.net.InetSocketAddress;
import org.cardamomthread.core.CardamomthreadException;

/** Thrown if the address of a listener cannot be bound. */
public final class ListenerBindException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    ListenerBindException(String listener, InetSocketAddress address, Throwable cause) {
        super(
                String.format(
                        "listener \"%s\" could not bind %s:%d (%s): stop the process that uses the"
                                + " port, or set listeners.%s to a free address of this host",
                        listener,
                        address.getHostString(),
                        address.getPort(),
                        cause.getMessage(),
                        listener),
                cause);
    }
}
