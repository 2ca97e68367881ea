package org.cardamomthread.transport;

import io.netty.channel.Channel;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.transport.generated.Failure;
import org.cardamomthread.transport.generated.Frame;
import org.cardamomthread.transport.generated.OneWay;
import org.cardamomthread.transport.generated.Request;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves one connection that was opened by a peer.
 *
 * <p>Invariant: handlers are called only after the handshake, and the number of requests in
 * progress is bounded. Confined to the event loop of the transport.
 */
final class InboundConnection implements ConnectionEvents {

    private static final Logger LOG = LoggerFactory.getLogger(InboundConnection.class);

    private final TransportContext context;
    private final TopicRegistry topics;
    private final InboundConnections connections;
    private final Channel socket;
    private final long acceptedAtMs;
    private PeerChannel channel;
    private long lastFrameAtMs;
    private int requestsInProgress;
    private boolean closed;

    InboundConnection(
            TransportContext context,
            TopicRegistry topics,
            InboundConnections connections,
            Channel socket) {
        this.context = context;
        this.topics = topics;
        this.connections = connections;
        this.socket = socket;
        acceptedAtMs = context.nowMs();
    }

    boolean isEstablished() {
        return channel != null;
    }

    PeerIdentity peer() {
        return channel.peer();
    }

    void checkTimeouts(long nowMs) {
        TransportSettings settings = context.settings();
        if (!isEstablished()) {
            if (nowMs - acceptedAtMs >= settings.handshakeTimeoutMs()) {
                onClosed("the handshake was not completed within its timeout");
            }
            return;
        }
        long inactivityTimeoutMs = 2 * settings.pingIntervalMs() + settings.pingTimeoutMs();
        if (nowMs - lastFrameAtMs >= inactivityTimeoutMs) {
            onClosed("no ping arrived within its timeout");
        }
    }

    @Override
    public void onEstablished(PeerChannel established) {
        channel = established;
        lastFrameAtMs = context.nowMs();
        if (!connections.promote(this)) {
            onClosed("a later incarnation of the node is connected: stop the earlier process");
            return;
        }
        channel.writeAndFlush(Frames.ACCEPTED);
    }

    @Override
    public void onFrame(Frame frame) {
        if (closed) {
            return;
        }
        lastFrameAtMs = context.nowMs();
        switch (frame.getBodyCase()) {
            case PING -> channel.writeAndFlush(Frames.PONG);
            case ONE_WAY -> handle(frame.getOneWay());
            case REQUEST -> handle(frame.getRequest());
            default ->
                    onClosed(
                            "the peer sent "
                                    + frame.getBodyCase()
                                    + ", which an initiator must not send");
        }
    }

    @Override
    public void onWritable() {
        LOG.trace("connection from {} is writable", socket.remoteAddress());
    }

    @Override
    public void onClosed(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        connections.remove(this);
        socket.close();
        if (isEstablished()) {
            LOG.debug("connection from node {} closed: {}", peer().node(), reason);
        } else {
            LOG.warn("connection from {} rejected: {}", socket.remoteAddress(), reason);
        }
    }

    private void handle(OneWay oneWay) {
        if (!topics.hasHandler(oneWay.getTopic())) {
            LOG.debug(
                    "ignoring message with unknown topic {} from node {}",
                    oneWay.getTopic(),
                    peer().node());
            return;
        }
        NodeId from = peer().node();
        topics.dispatch(from, oneWay.getTopic(), oneWay.getPayload().toByteArray())
                .whenComplete((ignored, failure) -> logFailure(oneWay.getTopic(), failure));
    }

    private void handle(Request request) {
        if (!topics.hasHandler(request.getTopic())) {
            String reason =
                    "topic "
                            + request.getTopic()
                            + " has no handler on the receiver: run the same release on all nodes";
            refuse(request, reason);
        } else if (requestsInProgress >= context.settings().maxPendingRequests()) {
            refuse(request, "the receiver has too many requests in progress: send fewer at a time");
        } else {
            requestsInProgress++;
            topics.dispatch(peer().node(), request.getTopic(), request.getPayload().toByteArray())
                    .whenComplete((payload, failure) -> finish(request, payload, failure));
        }
    }

    private void finish(Request request, byte[] payload, Throwable failure) {
        Frame frame = toFrame(request, payload, failure);
        logFailure(request.getTopic(), failure);
        if (context.loop().inEventLoop()) {
            respond(frame);
        } else if (!context.loop().isShuttingDown()) {
            context.loop().execute(() -> respond(frame));
        }
    }

    private Frame toFrame(Request request, byte[] payload, Throwable failure) {
        if (failure != null) {
            return Frames.failure(
                    request.getId(),
                    Failure.Kind.HANDLER_FAILED,
                    String.valueOf(failure.getMessage()));
        }
        if (payload == null || payload.length > context.settings().maxPayloadBytes()) {
            return Frames.failure(
                    request.getId(),
                    Failure.Kind.HANDLER_FAILED,
                    "the response must have at most "
                            + context.settings().maxPayloadBytes()
                            + " bytes");
        }
        return Frames.response(request.getId(), payload);
    }

    private void respond(Frame frame) {
        requestsInProgress--;
        if (!closed) {
            write(frame);
        }
    }

    private void refuse(Request request, String reason) {
        write(Frames.failure(request.getId(), Failure.Kind.NOT_HANDLED, reason));
    }

    private void write(Frame frame) {
        channel.writeAndFlush(frame);
        if (channel.bytesBeforeWritable() > context.settings().maxQueuedBytes()) {
            onClosed("the peer does not read its responses and the write buffer is full");
        }
    }

    private static void logFailure(int topic, Throwable failure) {
        if (failure != null) {
            LOG.warn("handler for topic {} failed", topic, failure);
        }
    }
}
