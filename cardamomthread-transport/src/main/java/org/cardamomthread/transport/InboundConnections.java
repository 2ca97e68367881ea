package org.cardamomthread.transport;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cardamomthread.core.id.NodeId;

/**
 * Holds the connections that peers opened.
 *
 * <p>Invariant: at most one established connection a peer, the one of its latest incarnation. Used
 * on the thread of the transport only, but for {@link #peers()}, which any thread may call.
 */
final class InboundConnections {

    /** Bound of the connections whose peer is not yet known. */
    private static final int MAX_HANDSHAKING_CONNECTIONS = 1_024;

    private final Set<InboundConnection> handshaking = new HashSet<>();
    private final Map<NodeId, InboundConnection> established = new HashMap<>();
    private volatile List<NodeId> peers = List.of();

    /** Adds a new connection unless too many are in the handshake. */
    boolean add(InboundConnection connection) {
        return handshaking.size() < MAX_HANDSHAKING_CONNECTIONS && handshaking.add(connection);
    }

    /** Makes a connection the one of its peer, unless a later incarnation is connected. */
    boolean promote(InboundConnection connection) {
        PeerIdentity peer = connection.peer();
        InboundConnection present = established.get(peer.node());
        if (present != null && present.peer().incarnation() > peer.incarnation()) {
            return false;
        }
        handshaking.remove(connection);
        established.put(peer.node(), connection);
        if (present != null) {
            present.onClosed("the node opened another connection");
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
