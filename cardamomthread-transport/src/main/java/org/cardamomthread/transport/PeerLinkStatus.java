package org.cardamomthread.transport;

import java.net.InetSocketAddress;
import org.cardamomthread.core.id.NodeId;

/**
 * Describes the outbound connection to a peer.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the peer
 * @param address where it listens, null if not known
 * @param state the state of the connection
 * @param incarnation the peer's incarnation at the last handshake, 0 before the first
 * @param queuedMessages messages and requests not yet written
 * @param pendingRequests requests written and not yet answered
 * @param lastFailure why the last connection ended, empty if none failed
 */
public record PeerLinkStatus(
        NodeId node,
        InetSocketAddress address,
        LinkState state,
        long incarnation,
        int queuedMessages,
        int pendingRequests,
        String lastFailure) {}
