package org.cardamomthread.transport;

/**
 * Thrown when the peer may have handled a request. Only an idempotent request may be sent again.
 */
public final class PeerOutcomeUnknownException extends PeerException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception for one request.
     *
     * @param message cause of the failure and its remedy
     */
    public PeerOutcomeUnknownException(String message) {
        super(message);
    }
}
