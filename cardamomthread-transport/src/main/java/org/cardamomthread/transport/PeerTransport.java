package org.cardamomthread.transport;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.NodeId;

/**
 * Sends and receives messages between the nodes of a deployment.
 *
 * <p>Invariant: a handler receives only messages whose sender has proved that it holds the peer
 * key, each at most once. Thread-safe; no method except {@link #close()} blocks.
 */
public interface PeerTransport extends AutoCloseable {

    /**
     * Registers the handler of a topic.
     *
     * @param topic topic to handle
     * @param handler called for each message of the topic
     * @throws IllegalArgumentException if the topic's number already has a handler
     */
    void register(PeerTopic topic, PeerHandler handler);

    /**
     * Sets the address of a node. An existing connection to another address is closed.
     *
     * @param node identifier of the node
     * @param address address of the node's peer listener
     */
    void setAddress(NodeId node, InetSocketAddress address);

    /**
     * Sends a one-way message with best-effort delivery.
     *
     * <p>The queue to each node is bounded: when it is full, its oldest one-way message is dropped.
     * Messages that could not be written for {@link TransportSettings#messageMaxAgeMs()} are
     * dropped too. A message to this node itself goes to the local handler.
     *
     * @param to identifier of the receiver
     * @param topic topic of the message
     * @param payload content, at most {@link TransportSettings#maxPayloadBytes()} bytes; must not
     *     be modified afterwards
     */
    void send(NodeId to, PeerTopic topic, byte[] payload);

    /**
     * Sends a request and returns a future for its response.
     *
     * <p>The future fails with {@link PeerUnreachableException} if the peer's handler was
     * definitely not called, and with {@link PeerOutcomeUnknownException} if it may have been
     * called. It completes on the event loop of the transport, so dependent stages must not block.
     *
     * @param to identifier of the receiver
     * @param topic topic of the message
     * @param payload content, at most {@link TransportSettings#maxPayloadBytes()} bytes; must not
     *     be modified afterwards
     * @param timeout maximum time to wait for the response
     * @return a future that completes with the response
     */
    CompletableFuture<byte[]> request(NodeId to, PeerTopic topic, byte[] payload, Duration timeout);

    /**
     * Returns the status of all links.
     *
     * @return a snapshot taken at the time of the call
     */
    TransportStatus status();

    /** Closes all connections and fails all pending requests. */
    @Override
    void close();
}
