package org.cardamomthread.transport;

/** Reports a request whose handler definitely was not called; it may be sent again. */
public final class PeerUnreachableException extends PeerException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong and the remedy
     */
    public PeerUnreachableException(String message) {
        super(message);
    }
}
