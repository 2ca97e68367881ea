package org.cardamomthread.transport;

import org.cardamomthread.transport.generated.Frame;

/** Receives the events of one connection, on the thread of the transport. */
interface ConnectionEvents {

    /** Called once the handshake is complete. */
    void onEstablished(PeerChannel channel);

    /** Called for each authentic frame after the handshake. */
    void onFrame(Frame frame);

    /** Called when more can be written. */
    void onWritable();

    /** Called when the connection failed or was closed, possibly more than once. */
    void onClosed(String reason);
}
