package org.cardamomthread.transport;

import java.net.InetSocketAddress;
import org.cardamomthread.core.id.NodeId;

/**
 * Status of the outbound connection to a peer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param node identifier of the peer
 * @param address address of the peer's listener; null if not known
 * @param state current state of the connection
 * @param incarnation incarnation of the peer at the last handshake; 0 before the first
 * @param queuedMessages number of messages and requests not yet written
 * @param pendingRequests number of requests written and not yet answered
 * @param lastFailure cause of the last failure; empty if there was none or after recovery
 */
public record PeerLinkStatus(
        NodeId node,
        InetSocketAddress address,
        LinkState state,
        long incarnation,
        int queuedMessages,
        int pendingRequests,
        String lastFailure) {}
