package org.cardamomthread.transport;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.NodeId;

/**
 * Exchanges messages with the other nodes of the deployment.
 *
 * <p>Invariant: a handler sees only messages whose sender proved that it holds the peer key, each
 * at most once. Safe for use by several threads; no method but {@link #close()} blocks.
 */
public interface PeerTransport extends AutoCloseable {

    /**
     * Registers the handler of a topic.
     *
     * @param topic the topic
     * @param handler called for each message of that topic
     * @throws IllegalArgumentException if the topic's number already has a handler
     */
    void register(PeerTopic topic, PeerHandler handler);

    /**
     * Sets where a node listens. An existing connection to another address is closed.
     *
     * @param node the node
     * @param address its peer listener
     */
    void setAddress(NodeId node, InetSocketAddress address);

    /**
     * Sends a message without a response, at best effort.
     *
     * <p>The queue to each node is bounded: when it is full, its oldest one-way message is dropped.
     * Messages that could not be written for {@link TransportSettings#messageMaxAgeMs()} are
     * dropped too. A message to this node itself goes to the local handler.
     *
     * @param to the receiver
     * @param topic the topic
     * @param payload the content, at most {@link TransportSettings#maxPayloadBytes()}; must not be
     *     changed afterwards
     */
    void send(NodeId to, PeerTopic topic, byte[] payload);

    /**
     * Sends a request and returns its response.
     *
     * <p>The future fails with {@link PeerUnreachableException} if the peer's handler definitely
     * was not called, and with {@link PeerOutcomeUnknownException} if it may have been. It
     * completes on the thread of the transport, so dependents must not block.
     *
     * @param to the receiver
     * @param topic the topic
     * @param payload the content, at most {@link TransportSettings#maxPayloadBytes()}; must not be
     *     changed afterwards
     * @param timeout the longest wait for the response
     * @return completes with the response
     */
    CompletableFuture<byte[]> request(NodeId to, PeerTopic topic, byte[] payload, Duration timeout);

    /**
     * Returns the state of all links.
     *
     * @return a copy taken at the time of the call
     */
    TransportStatus status();

    /** Closes all connections and fails all outstanding requests. */
    @Override
    void close();
}
