package org.cardamomthread.transport;

import org.cardamomthread.transport.generated.Frame;

/** Callback for the events of one connection, called on the event loop of the transport. */
interface ConnectionEvents {

    /** Called once, when the handshake is complete. */
    void onEstablished(PeerChannel channel);

    /** Called for each authenticated frame after the handshake. */
    void onFrame(Frame frame);

    /** Called when the connection becomes writable again. */
    void onWritable();

    /** Called when the connection failed or was closed. May be called more than once. */
    void onClosed(String reason);
}
