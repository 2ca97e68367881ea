package org.cardamomthread.transport;

/**
 * Thrown when the handler of a request was definitely not called. The request may be sent again.
 */
public final class PeerUnreachableException extends PeerException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception for one request.
     *
     * @param message cause of the failure and its remedy
     */
    public PeerUnreachableException(String message) {
        super(message);
    }
}
