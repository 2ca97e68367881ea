package org.cardamomthread.transport;

/** State of the outbound connection to a peer. */
public enum LinkState {
    /** Not connected, because there is nothing to send. */
    IDLE,
    /** Connecting or performing the handshake. */
    CONNECTING,
    /** Connected, with a completed handshake. */
    CONNECTED,
    /** Not connected after a failure; waiting for the backoff delay before the next attempt. */
    BACKING_OFF
}
