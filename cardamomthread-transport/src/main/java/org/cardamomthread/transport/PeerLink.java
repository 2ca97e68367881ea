package org.cardamomthread.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.transport.generated.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains the outbound connection to one peer and the queue of messages for it.
 *
 * <p>Invariants: there is at most one connection; a request that was written ends with the peer's
 * reply or with {@link PeerOutcomeUnknownException}, and one that was not written ends with {@link
 * PeerUnreachableException}. {@link #submit} and {@link #status} are thread-safe; all other methods
 * are confined to the event loop of the transport.
 */
final class PeerLink {

    private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);

    private final NodeId peer;
    private final TransportContext context;
    private final SendQueue sendQueue;
    private final PendingRequests pending = new PendingRequests();
    private final Backoff backoff;
    private final AtomicBoolean drainScheduled = new AtomicBoolean();

    private volatile InetSocketAddress address;
    private volatile LinkState state = LinkState.IDLE;
    private volatile long peerIncarnation;
    private volatile String lastFailure = "";

    private OutboundConnection connection;
    private boolean connectFailed;
    private boolean closed;
    private long retryAtMs;

    PeerLink(NodeId peer, TransportContext context) {
        this.peer = peer;
        this.context = context;
        TransportSettings settings = context.settings();
        sendQueue = new SendQueue(settings.maxQueuedMessages(), settings.maxQueuedBytes());
        backoff = new Backoff(settings.minBackoffMs(), settings.maxBackoffMs(), context.random());
    }

    PeerLinkStatus status() {
        return new PeerLinkStatus(
                peer,
                address,
                state,
                peerIncarnation,
                sendQueue.size(),
                pending.size(),
                lastFailure);
    }

    /** Queues a message. May be called by any thread. */
    void submit(QueuedMessage message) {
        for (QueuedMessage dropped : sendQueue.offer(message)) {
            reject(dropped, "the send queue of the node is full: send less or wait for responses");
        }
        if (drainScheduled.compareAndSet(false, true)) {
            try {
                context.loop().execute(this::drain);
            } catch (RejectedExecutionException e) {
                drainScheduled.set(false);
                rejectAll("this node is shutting down");
            }
        }
    }

    void setAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        backoff.reset();
        if (connection != null) {
            handleClosed(connection, "the address of the node changed to " + newAddress);
        }
        state = LinkState.IDLE;
        drain();
    }

    void checkTimeouts() {
        long nowMs = context.nowMs();
        expire(nowMs);
        if (connection != null) {
            connection.checkTimeouts(nowMs);
        } else if (state == LinkState.BACKING_OFF && nowMs >= retryAtMs) {
            state = LinkState.IDLE;
            drain();
        }
    }

    void close(String reason) {
        closed = true;
        if (connection != null) {
            handleClosed(connection, reason);
        }
        rejectAll(reason);
    }

    private void drain() {
        drainScheduled.set(false);
        if (closed) {
            rejectAll("this node is shutting down");
            return;
        }
        switch (state) {
            case IDLE -> connectIfNeeded();
            case CONNECTED -> connection.writeQueued();
            case BACKING_OFF -> failFast();
            case CONNECTING -> LOG.trace("connection to node {} is in progress", peer);
            default -> throw new IllegalStateException("state " + state + " is not handled");
        }
    }

    private void failFast() {
        if (connectFailed) {
            for (QueuedMessage request : sendQueue.removeAll(message -> !message.isOneWay())) {
                reject(request, lastFailure);
            }
        }
    }

    private void connectIfNeeded() {
        if (sendQueue.isEmpty()) {
            return;
        }
        if (address == null) {
            rejectAll("its address is unknown: add it to the settings or wait for its discovery");
            return;
        }
        state = LinkState.CONNECTING;
        connection = new OutboundConnection(context.nowMs());
        connection.connect(address);
    }

    private void expire(long nowMs) {
        pending.expire(nowMs);
        if (sendQueue.isEmpty()) {
            return;
        }
        long maxAgeMs = context.settings().messageMaxAgeMs();
        for (QueuedMessage expired :
                sendQueue.removeAll(message -> message.isExpired(nowMs, maxAgeMs))) {
            reject(expired, "it could not be written to the connection within its timeout");
        }
    }

    private void handleClosed(OutboundConnection closedConnection, String reason) {
        if (connection != closedConnection) {
            return;
        }
        connection = null;
        connectFailed = state != LinkState.CONNECTED;
        state = LinkState.BACKING_OFF;
        long delayMs = backoff.nextDelayMs();
        retryAtMs = context.nowMs() + delayMs;
        if (!reason.equals(lastFailure)) {
            LOG.warn("connection to node {} at {} closed: {}", peer, address, reason);
        }
        lastFailure = reason;
        closedConnection.close();
        pending.failAll(reason);
        context.listener().connectionLost(peer, reason);
        failFast();
    }

    private void closeIdle() {
        OutboundConnection idle = connection;
        connection = null;
        state = LinkState.IDLE;
        idle.close();
    }

    private void rejectAll(String reason) {
        sendQueue.removeAll(message -> true).forEach(message -> reject(message, reason));
    }

    private void reject(QueuedMessage message, String reason) {
        if (message.isOneWay()) {
            context.listener().messageDropped(peer);
        } else {
            message.request().failUnreachable(reason);
        }
    }

    /** One connection, from the connection attempt until it is closed; later events are ignored. */
    private final class OutboundConnection implements ConnectionEvents {

        private final long startedAtMs;
        private Channel socket;
        private PeerChannel channel;
        private long connectedAtMs;
        private long lastWriteAtMs;
        private long lastPingAtMs;
        private boolean pingOutstanding;

        OutboundConnection(long startedAtMs) {
            this.startedAtMs = startedAtMs;
        }

        void connect(InetSocketAddress to) {
            TransportSettings settings = context.settings();
            InitiatorHandshake handshake =
                    new InitiatorHandshake(
                            context.peerKey(), context.self(), peer, context.newNonce());
            InitiatorHandler handler =
                    new InitiatorHandler(handshake, settings, context.listener(), this);
            ChannelFuture future =
                    new Bootstrap()
                            .group(context.loop())
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(
                                    ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                    (int) settings.handshakeTimeoutMs())
                            .handler(
                                    new ChannelInitializer<SocketChannel>() {
                                        @Override
                                        protected void initChannel(SocketChannel created) {
                                            PeerPipeline.addHandshakeHandlers(
                                                    created.pipeline(), handler);
                                        }
                                    })
                            .connect(to);
            socket = future.channel();
            future.addListener(
                    done -> {
                        if (!done.isSuccess()) {
                            onClosed(
                                    to
                                            + " could not be reached ("
                                            + done.cause().getMessage()
                                            + ")");
                        }
                    });
        }

        void checkTimeouts(long nowMs) {
            TransportSettings settings = context.settings();
            if (state == LinkState.CONNECTING) {
                if (nowMs - startedAtMs >= settings.handshakeTimeoutMs()) {
                    onClosed("the handshake was not completed within its timeout");
                }
                return;
            }
            if (pingOutstanding) {
                if (nowMs - lastPingAtMs >= settings.pingTimeoutMs()) {
                    onClosed("the connection is silent: no frame arrived after a ping");
                }
                return;
            }
            if (nowMs - lastWriteAtMs >= settings.idleTimeoutMs() && pending.size() == 0) {
                closeIdle();
            } else if (nowMs - lastPingAtMs >= settings.pingIntervalMs()) {
                ping(nowMs);
            }
        }

        void close() {
            socket.close();
        }

        @Override
        public void onEstablished(PeerChannel established) {
            channel = established;
        }

        @Override
        public void onFrame(Frame frame) {
            if (connection != this) {
                return;
            }
            pingOutstanding = false;
            switch (frame.getBodyCase()) {
                case ACCEPTED -> accepted();
                case RESPONSE -> respond(frame);
                case FAILURE -> fail(frame);
                case PONG -> resetBackoffIfStable();
                default ->
                        onClosed(
                                "the peer sent "
                                        + frame.getBodyCase()
                                        + ", which an acceptor must not send");
            }
        }

        @Override
        public void onWritable() {
            if (connection == this && state == LinkState.CONNECTED) {
                writeQueued();
            }
        }

        @Override
        public void onClosed(String reason) {
            handleClosed(this, reason);
        }

        private void writeQueued() {
            lastWriteAtMs = context.nowMs();
            while (channel.isWritable()) {
                QueuedMessage next = sendQueue.poll();
                if (next == null) {
                    break;
                }
                write(next, lastWriteAtMs);
            }
            channel.flush();
        }

        private void write(QueuedMessage next, long nowMs) {
            if (next.isExpired(nowMs, context.settings().messageMaxAgeMs())) {
                reject(next, "it could not be written to the connection within its timeout");
            } else if (next.isOneWay()) {
                channel.write(Frames.oneWay(next));
            } else if (pending.size() >= context.settings().maxPendingRequests()) {
                reject(next, "too many requests are waiting for a response: send fewer at a time");
            } else {
                channel.write(Frames.request(pending.add(next.request()), next));
            }
        }

        private void ping(long nowMs) {
            lastPingAtMs = nowMs;
            pingOutstanding = true;
            channel.writeAndFlush(Frames.PING);
        }

        private void accepted() {
            connectedAtMs = context.nowMs();
            lastPingAtMs = connectedAtMs;
            peerIncarnation = channel.peer().incarnation();
            state = LinkState.CONNECTED;
            LOG.info("connected to node {} at {}", peer, address);
            writeQueued();
        }

        private void resetBackoffIfStable() {
            if (context.nowMs() - connectedAtMs >= context.settings().maxBackoffMs()) {
                backoff.reset();
                lastFailure = "";
            }
        }

        private void respond(Frame frame) {
            PendingRequest request = pending.remove(frame.getResponse().getId());
            if (request != null) {
                request.complete(frame.getResponse().getPayload().toByteArray());
            }
        }

        private void fail(Frame frame) {
            PendingRequest request = pending.remove(frame.getFailure().getId());
            if (request != null) {
                Frames.fail(request, frame.getFailure());
            }
        }
    }
}
