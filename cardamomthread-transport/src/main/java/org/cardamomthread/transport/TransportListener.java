package org.cardamomthread.transport;

import org.cardamomthread.core.id.NodeId;

/**
 * Observes the links of a node, for metrics.
 *
 * <p>Called on the thread of the transport or of a sender; implementations must be safe for use by
 * several threads, quick, and must not throw.
 */
public interface TransportListener {

    /** Ignores everything. */
    TransportListener NONE = new TransportListener() {};

    /**
     * Called after a frame was handed to the connection.
     *
     * @param peer the receiver
     * @param bytes length on the wire, with all headers of this protocol
     */
    default void frameSent(NodeId peer, int bytes) {}

    /**
     * Called after an authentic frame arrived.
     *
     * @param peer the sender
     * @param bytes length on the wire, with all headers of this protocol
     */
    default void frameReceived(NodeId peer, int bytes) {}

    /**
     * Called when a one-way message is dropped because the queue is full or it is too old.
     *
     * @param peer the receiver
     */
    default void messageDropped(NodeId peer) {}

    /**
     * Called when an outbound connection ended or an attempt failed.
     *
     * @param peer the peer
     * @param reason what happened
     */
    default void connectionLost(NodeId peer, String reason) {}
}
