package org.cardamomthread.daemon.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.transport.PeerHandler;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.cardamomthread.transport.PeerUnreachableException;
import org.cardamomthread.transport.TransportStatus;

/** Delivers messages to other nodes of the same process; a closed node is unreachable. */
final class InProcessPeerTransport implements PeerTransport {

    private final Map<NodeId, InProcessPeerTransport> network;
    private final NodeId self;
    private final Map<Integer, PeerHandler> handlers = new ConcurrentHashMap<>();

    InProcessPeerTransport(Map<NodeId, InProcessPeerTransport> network, NodeId self) {
        this.network = network;
        this.self = self;
        network.put(self, this);
    }

    @Override
    public void register(PeerTopic topic, PeerHandler handler) {
        handlers.put(topic.number(), handler);
    }

    @Override
    public void setAddress(NodeId node, InetSocketAddress address) {}

    @Override
    public void send(NodeId to, PeerTopic topic, byte[] payload) {
        request(to, topic, payload, Duration.ZERO);
    }

    @Override
    public CompletableFuture<byte[]> request(
            NodeId to, PeerTopic topic, byte[] payload, Duration timeout) {
        InProcessPeerTransport peer = network.get(to);
        PeerHandler handler = peer == null ? null : peer.handlers.get(topic.number());
        if (handler == null || !network.containsKey(self)) {
            return CompletableFuture.failedFuture(new PeerUnreachableException(to + " is down"));
        }
        return handler.handle(self, payload).toCompletableFuture();
    }

    @Override
    public TransportStatus status() {
        throw new UnsupportedOperationException("a local transport has no links");
    }

    @Override
    public void close() {
        network.remove(self);
    }
}
