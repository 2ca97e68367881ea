package org.cardamomthread.transport;

import org.cardamomthread.transport.generated.Frame;

/** Receives the events of one connection, on the thread of the transport. */
interface ConnectionEvents {

    /** Called once the handshake is complete. */
    void established(PeerChannel channel);

    /** Called for each authentic frame after the handshake. */
    void received(Frame frame);

    /** Called when more can be written. */
    void writable();

    /** Called when the connection failed or was closed, possibly more than once. */
    void ended(String reason);
}
