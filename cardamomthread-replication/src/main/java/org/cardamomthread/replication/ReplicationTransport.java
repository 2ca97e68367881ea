package org.cardamomthread.replication;

import org.cardamomthread.core.id.NodeId;

/** Carries messages of one group to other nodes. Implementations are safe for several threads. */
@FunctionalInterface
public interface ReplicationTransport {

    /**
     * Sends a message without waiting; it may be lost, delayed, duplicated or reordered.
     *
     * @param to the receiving node
     * @param message the encoded message
     */
    void send(NodeId to, byte[] message);
}
