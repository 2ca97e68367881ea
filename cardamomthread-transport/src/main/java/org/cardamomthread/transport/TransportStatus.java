package org.cardamomthread.transport;

import java.net.InetSocketAddress;
import java.util.List;
import org.cardamomthread.core.id.NodeId;

/**
 * Status of the transport of a node.
 *
 * <p>Immutable and thread-safe.
 *
 * @param listen address of the peer listener; null before the start
 * @param links outbound connections, ordered by node
 * @param inboundPeers peers with an established inbound connection, in order
 */
public record TransportStatus(
        InetSocketAddress listen, List<PeerLinkStatus> links, List<NodeId> inboundPeers) {

    /** Creates a status with unmodifiable copies of the lists. */
    public TransportStatus {
        links = List.copyOf(links);
        inboundPeers = List.copyOf(inboundPeers);
    }
}
