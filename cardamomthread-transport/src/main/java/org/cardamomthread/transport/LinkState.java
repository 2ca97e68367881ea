package org.cardamomthread.transport;

/** State of the outbound connection to a peer. */
public enum LinkState {
    /** Not connected, because nothing is to be sent. */
    IDLE,
    /** Connecting or in the handshake. */
    CONNECTING,
    /** Established. */
    CONNECTED,
    /** Not connected after a failure; the next attempt follows after a delay. */
    WAITING
}
