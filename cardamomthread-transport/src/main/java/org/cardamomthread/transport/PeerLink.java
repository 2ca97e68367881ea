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
 * Keeps the outbound connection to one peer.
 *
 * <p>Invariants: there is at most one connection; a request that was written to it ends with its
 * response or as unknown, and one that was not written ends as unreachable. {@link #submit} and
 * {@link #status} are safe for use by several threads, the rest runs on the thread of the
 * transport.
 */
final class PeerLink {

    private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);

    private final NodeId peer;
    private final TransportContext context;
    private final Outbox outbox;
    private final PendingRequests pending = new PendingRequests();
    private final Backoff backoff;
    private final AtomicBoolean drainScheduled = new AtomicBoolean();

    private volatile InetSocketAddress address;
    private volatile LinkState state = LinkState.IDLE;
    private volatile long peerIncarnation;
    private volatile String lastFailure = "";

    private Attempt attempt;
    private boolean attemptFailed;
    private boolean closed;
    private long retryAtMs;

    PeerLink(NodeId peer, TransportContext context) {
        this.peer = peer;
        this.context = context;
        TransportSettings settings = context.settings();
        outbox = new Outbox(settings.queueMessages(), settings.queueBytes());
        backoff = new Backoff(settings.minBackoffMs(), settings.maxBackoffMs(), context.random());
    }

    PeerLinkStatus status() {
        return new PeerLinkStatus(
                peer, address, state, peerIncarnation, outbox.size(), pending.size(), lastFailure);
    }

    /** Queues a message; called by any thread. */
    void submit(Outgoing outgoing) {
        for (Outgoing dropped : outbox.offer(outgoing)) {
            reject(dropped, "the queue to the node is full: send less or wait for responses");
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

    void setAddress(InetSocketAddress changed) {
        if (changed.equals(address)) {
            return;
        }
        address = changed;
        backoff.succeeded();
        if (attempt != null) {
            end(attempt, "the address of the node changed to " + changed);
        }
        state = LinkState.IDLE;
        drain();
    }

    void tick() {
        long nowMs = context.nowMs();
        expire(nowMs);
        if (attempt != null) {
            attempt.tick(nowMs);
        } else if (state == LinkState.WAITING && nowMs >= retryAtMs) {
            state = LinkState.IDLE;
            drain();
        }
    }

    void close(String reason) {
        closed = true;
        if (attempt != null) {
            end(attempt, reason);
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
            case CONNECTED -> attempt.writeQueued();
            case WAITING -> failFast();
            case CONNECTING -> LOG.trace("{} is being connected", peer);
            default -> throw new IllegalStateException("state " + state + " must be handled");
        }
    }

    private void failFast() {
        if (attemptFailed) {
            for (Outgoing request : outbox.removeAll(outgoing -> !outgoing.isOneWay())) {
                reject(request, lastFailure);
            }
        }
    }

    private void connectIfNeeded() {
        if (outbox.isEmpty()) {
            return;
        }
        if (address == null) {
            rejectAll("its address is not known: add the node to the settings or wait for it");
            return;
        }
        state = LinkState.CONNECTING;
        attempt = new Attempt(context.nowMs());
        attempt.connect(address);
    }

    private void expire(long nowMs) {
        pending.expire(nowMs);
        if (outbox.isEmpty()) {
            return;
        }
        long maxAgeMs = context.settings().messageMaxAgeMs();
        for (Outgoing old : outbox.removeAll(outgoing -> outgoing.isExpired(nowMs, maxAgeMs))) {
            reject(old, "the connection took none of it within its timeout");
        }
    }

    private void end(Attempt ended, String reason) {
        if (attempt != ended) {
            return;
        }
        attempt = null;
        attemptFailed = state != LinkState.CONNECTED;
        state = LinkState.WAITING;
        long delayMs = backoff.failed();
        retryAtMs = context.nowMs() + delayMs;
        if (!reason.equals(lastFailure)) {
            LOG.warn("link to node {} at {} ended: {}", peer, address, reason);
        }
        lastFailure = reason;
        ended.close();
        pending.failAll(reason);
        context.listener().connectionLost(peer, reason);
        failFast();
    }

    private void closeIdle() {
        Attempt idle = attempt;
        attempt = null;
        state = LinkState.IDLE;
        idle.close();
    }

    private void rejectAll(String reason) {
        outbox.removeAll(outgoing -> true).forEach(outgoing -> reject(outgoing, reason));
    }

    private void reject(Outgoing outgoing, String reason) {
        if (outgoing.isOneWay()) {
            context.listener().messageDropped(peer);
        } else {
            outgoing.request().failUnreachable(reason);
        }
    }

    /** One connection from its start to its end; events after the end are ignored. */
    private final class Attempt implements ConnectionEvents {

        private final long startedAtMs;
        private Channel socket;
        private PeerChannel channel;
        private long connectedAtMs;
        private long lastUsedMs;
        private long lastPingMs;
        private boolean awaitingFrame;

        Attempt(long startedAtMs) {
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
                                            PeerPipeline.prepare(created.pipeline(), handler);
                                        }
                                    })
                            .connect(to);
            socket = future.channel();
            future.addListener(
                    done -> {
                        if (!done.isSuccess()) {
                            ended(to + " was not reached (" + done.cause().getMessage() + ")");
                        }
                    });
        }

        void tick(long nowMs) {
            TransportSettings settings = context.settings();
            if (state == LinkState.CONNECTING) {
                if (nowMs - startedAtMs >= settings.handshakeTimeoutMs()) {
                    ended("no handshake was completed within its timeout");
                }
                return;
            }
            if (awaitingFrame) {
                if (nowMs - lastPingMs >= settings.silentAfterMs()) {
                    ended("the connection is silent: nothing came back after a ping");
                }
                return;
            }
            if (nowMs - lastUsedMs >= settings.idleCloseMs() && pending.size() == 0) {
                closeIdle();
            } else if (nowMs - lastPingMs >= settings.pingIntervalMs()) {
                ping(nowMs);
            }
        }

        void close() {
            socket.close();
        }

        @Override
        public void established(PeerChannel established) {
            channel = established;
        }

        @Override
        public void received(Frame frame) {
            if (attempt != this) {
                return;
            }
            awaitingFrame = false;
            switch (frame.getBodyCase()) {
                case ACCEPTED -> accepted();
                case RESPONSE -> respond(frame);
                case FAILURE -> fail(frame);
                case PONG -> settleBackoff();
                default -> ended("the peer sent " + frame.getBodyCase() + " as the acceptor");
            }
        }

        @Override
        public void writable() {
            if (attempt == this && state == LinkState.CONNECTED) {
                writeQueued();
            }
        }

        @Override
        public void ended(String reason) {
            end(this, reason);
        }

        private void writeQueued() {
            lastUsedMs = context.nowMs();
            while (channel.isWritable()) {
                Outgoing next = outbox.poll();
                if (next == null) {
                    break;
                }
                write(next, lastUsedMs);
            }
            channel.flush();
        }

        private void write(Outgoing next, long nowMs) {
            if (next.isExpired(nowMs, context.settings().messageMaxAgeMs())) {
                reject(next, "the connection took none of it within its timeout");
            } else if (next.isOneWay()) {
                channel.write(Frames.oneWay(next));
            } else if (pending.size() >= context.settings().pendingRequests()) {
                reject(next, "too many requests await a response: send fewer at a time");
            } else {
                channel.write(Frames.request(pending.add(next.request()), next));
            }
        }

        private void ping(long nowMs) {
            lastPingMs = nowMs;
            awaitingFrame = true;
            channel.writeAndFlush(Frames.PING);
        }

        private void accepted() {
            connectedAtMs = context.nowMs();
            lastPingMs = connectedAtMs;
            peerIncarnation = channel.peer().incarnation();
            state = LinkState.CONNECTED;
            LOG.info("link to node {} at {} is up", peer, address);
            writeQueued();
        }

        private void settleBackoff() {
            if (context.nowMs() - connectedAtMs >= context.settings().maxBackoffMs()) {
                backoff.succeeded();
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
