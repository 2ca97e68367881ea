package org.cardamomthread.command.client;

import org.cardamomthread.core.CardamomthreadException;

/** Reports that a request got no whole answer. */
public final class TransportException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    private final boolean arrived;

    /**
     * Creates an exception.
     *
     * @param message what went wrong
     * @param arrived false if the request certainly did not arrive
     */
    public TransportException(String message, boolean arrived) {
        super(message);
        this.arrived = arrived;
    }

    /**
     * Tells whether the request may have arrived.
     *
     * @return false if it certainly did not
     */
    public boolean mayHaveArrived() {
        return arrived;
    }
}
