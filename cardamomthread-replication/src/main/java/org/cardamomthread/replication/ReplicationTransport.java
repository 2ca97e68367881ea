package org.cardamomthread.replication;

import org.cardamomthread.core.id.NodeId;

/** Sends messages of one group to other nodes. Implementations must be thread-safe. */
@FunctionalInterface
public interface ReplicationTransport {

    /**
     * Sends a message without blocking; it may be lost, delayed, duplicated or reordered.
     *
     * @param to the node that receives the message
     * @param message the serialized protocol message
     */
    void send(NodeId to, byte[] message);
}
