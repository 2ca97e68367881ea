package org.cardamomthread.transport;

/** Reports a request that the peer may have handled; only an idempotent one may be sent again. */
public final class PeerOutcomeUnknownException extends PeerException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong and the remedy
     */
    public PeerOutcomeUnknownException(String message) {
        super(message);
    }
}
