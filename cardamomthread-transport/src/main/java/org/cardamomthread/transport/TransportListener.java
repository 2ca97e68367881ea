package org.cardamomthread.transport;

import org.cardamomthread.core.id.NodeId;

/**
 * Callback for transport events, used for metrics.
 *
 * <p>Called on the event loop of the transport or on the thread of a sender. Implementations must
 * be thread-safe, must not block and must not throw.
 */
public interface TransportListener {

    /** Listener that ignores all events. */
    TransportListener NONE = new TransportListener() {};

    /**
     * Called after a frame was passed to the connection for writing.
     *
     * @param peer identifier of the receiver
     * @param bytes size on the wire, including all headers of the peer protocol
     */
    default void frameSent(NodeId peer, int bytes) {}

    /**
     * Called after an authenticated frame arrived.
     *
     * @param peer identifier of the sender
     * @param bytes size on the wire, including all headers of the peer protocol
     */
    default void frameReceived(NodeId peer, int bytes) {}

    /**
     * Called when a one-way message is dropped, for example because the queue is full or the
     * message is too old.
     *
     * @param peer identifier of the receiver
     */
    default void messageDropped(NodeId peer) {}

    /**
     * Called when an outbound connection was lost or a connection attempt failed.
     *
     * @param peer identifier of the peer
     * @param reason cause of the loss, for logs
     */
    default void connectionLost(NodeId peer, String reason) {}
}
