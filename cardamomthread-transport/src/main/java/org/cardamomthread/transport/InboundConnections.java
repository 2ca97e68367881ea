package org.cardamomthread.transport;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cardamomthread.core.id.NodeId;

/**
 * Registry of the connections that were opened by peers.
 *
 * <p>Invariant: each peer has at most one established connection, that of its latest incarnation.
 * Confined to the event loop of the transport, except for {@link #peers()}, which is thread-safe.
 */
final class InboundConnections {

    /** Maximum number of connections that have not completed the handshake. */
    private static final int MAX_HANDSHAKING_CONNECTIONS = 1_024;

    private final Set<InboundConnection> handshaking = new HashSet<>();
    private final Map<NodeId, InboundConnection> established = new HashMap<>();
    private volatile List<NodeId> peers = List.of();

    /** Adds a new connection and returns false if too many are in the handshake. */
    boolean add(InboundConnection connection) {
        return handshaking.size() < MAX_HANDSHAKING_CONNECTIONS && handshaking.add(connection);
    }

    /**
     * Makes a connection the established one of its peer and closes the previous one. Returns false
     * if a later incarnation of the peer is connected.
     */
    boolean promote(InboundConnection connection) {
        PeerIdentity peer = connection.peer();
        InboundConnection previous = established.get(peer.node());
        if (previous != null && previous.peer().incarnation() > peer.incarnation()) {
            return false;
        }
        handshaking.remove(connection);
        established.put(peer.node(), connection);
        if (previous != null) {
            previous.onClosed("the node opened another connection");
        }
        updatePeers();
        return true;
    }

    void remove(InboundConnection connection) {
        handshaking.remove(connection);
        if (connection.isEstablished()) {
            established.remove(connection.peer().node(), connection);
        }
        updatePeers();
    }

    void checkTimeouts(long nowMs) {
        List.copyOf(handshaking).forEach(connection -> connection.checkTimeouts(nowMs));
        List.copyOf(established.values()).forEach(connection -> connection.checkTimeouts(nowMs));
    }

    void closeAll(String reason) {
        List.copyOf(handshaking).forEach(connection -> connection.onClosed(reason));
        List.copyOf(established.values()).forEach(connection -> connection.onClosed(reason));
    }

    List<NodeId> peers() {
        return peers;
    }

    private void updatePeers() {
        peers = established.keySet().stream().sorted().toList();
    }
}
