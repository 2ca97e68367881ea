package org.cardamomthread.transport;

import java.net.InetSocketAddress;
import java.util.List;
import org.cardamomthread.core.id.NodeId;

/**
 * Describes the links of a node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param listen where this node listens, null before the start
 * @param links the outbound connections in the order of their nodes
 * @param connectedFrom the peers with an established inbound connection, in order
 */
public record TransportStatus(
        InetSocketAddress listen, List<PeerLinkStatus> links, List<NodeId> connectedFrom) {

    /** Copies the lists. */
    public TransportStatus {
        links = List.copyOf(links);
        connectedFrom = List.copyOf(connectedFrom);
    }
}
