package org.cardamomthread.command.client;

import org.cardamomthread.core.CardamomthreadException;

/** Reports that a request received no complete JSON response. */
public final class TransportException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    private final boolean mayHaveArrived;

    /**
     * Creates an exception.
     *
     * @param message the failure, including the address of the node
     * @param mayHaveArrived false if the request certainly did not reach the node
     */
    public TransportException(String message, boolean mayHaveArrived) {
        super(message);
        this.mayHaveArrived = mayHaveArrived;
    }

    /**
     * Returns whether the request may have reached the node.
     *
     * @return false if it certainly did not reach the node
     */
    public boolean mayHaveArrived() {
        return mayHaveArrived;
    }
}
