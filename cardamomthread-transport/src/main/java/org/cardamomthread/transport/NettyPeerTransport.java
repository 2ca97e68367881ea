package org.cardamomthread.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * {@link PeerTransport} over TCP with mutual authentication by a shared key.
 *
 * <p>Invariants: see {@link PeerTransport}; all connections, timeouts and handlers run on one
 * thread. Timeouts follow the {@link TimeSource} at a resolution of {@value
 * #TIMEOUT_CHECK_INTERVAL_MS} ms. Thread-safe.
 */
public final class NettyPeerTransport implements PeerTransport {

    /** Minimum length of the peer key, in bytes. */
    public static final int MIN_PEER_KEY_BYTES = 16;

    private static final Logger LOG = LoggerFactory.getLogger(NettyPeerTransport.class);
    private static final long TIMEOUT_CHECK_INTERVAL_MS = 20;
    private static final long SHUTDOWN_TIMEOUT_MS = 5_000;
    private static final String SHUTTING_DOWN = "this node is shutting down";

    private final InetSocketAddress listenAddress;
    private final MultiThreadIoEventLoopGroup group;
    private final TransportContext context;
    private final TopicRegistry topics = new TopicRegistry();
    private final InboundConnections inbound = new InboundConnections();
    private final Map<NodeId, PeerLink> links = new ConcurrentHashMap<>();
    private final PendingRequests localRequests = new PendingRequests();
    private volatile Channel listener;
    private volatile boolean closed;

    /**
     * Creates a transport with default settings and no listener for metrics.
     *
     * @param self identifier of this node
     * @param incarnation number that increases with each start of this node
     * @param listen address of the peer listener; port 0 selects a free port
     * @param peerKey key shared by all nodes, at least {@value #MIN_PEER_KEY_BYTES} bytes
     * @param timeSource clock for all timeouts
     */
    public NettyPeerTransport(
            NodeId self,
            long incarnation,
            InetSocketAddress listen,
            byte[] peerKey,
            TimeSource timeSource) {
        this(
                self,
                incarnation,
                listen,
                peerKey,
                timeSource,
                TransportSettings.defaults(),
                TransportListener.NONE);
    }

    /**
     * Creates a transport, which accepts connections after {@link #start()}.
     *
     * @param self identifier of this node
     * @param incarnation number that increases with each start of this node
     * @param listen address of the peer listener; port 0 selects a free port
     * @param peerKey key shared by all nodes, at least {@value #MIN_PEER_KEY_BYTES} bytes
     * @param timeSource clock for all timeouts
     * @param settings limits and timeouts
     * @param observer receives transport events for metrics
     */
    public NettyPeerTransport(
            NodeId self,
            long incarnation,
            InetSocketAddress listen,
            byte[] peerKey,
            TimeSource timeSource,
            TransportSettings settings,
            TransportListener observer) {
        if (peerKey.length < MIN_PEER_KEY_BYTES) {
            throw new IllegalArgumentException(
                    "the peer key is too short; it must have at least "
                            + MIN_PEER_KEY_BYTES
                            + " bytes");
        }
        this.listenAddress = listen;
        group =
                new MultiThreadIoEventLoopGroup(
                        1,
                        new DefaultThreadFactory("peer-transport", true),
                        NioIoHandler.newFactory());
        EventLoop loop = (EventLoop) group.next();
        context =
                new TransportContext(
                        new PeerIdentity(self, incarnation),
                        peerKey.clone(),
                        settings,
                        timeSource,
                        new SecureRandom(),
                        observer,
                        loop);
    }

    /**
     * Binds the address of the peer listener. Connections wait until {@link #start()}, so that a
     * node can find out that its address is in use before it opens its data folder.
     *
     * @throws TransportStartException if the address is in use or does not belong to this host
     */
    public void bind() throws TransportStartException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.AUTO_READ, false)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel socket) {
                                        accept(socket);
                                    }
                                })
                        .bind(listenAddress)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new TransportStartException(listenAddress, bound.cause());
        }
        listener = bound.channel();
    }

    /**
     * Opens the peer listener, and binds its address if that was not done before. All handlers must
     * have been registered before.
     *
     * @throws TransportStartException if the address is in use or does not belong to this host
     */
    public void start() throws TransportStartException {
        if (listener == null) {
            bind();
        }
        listener.config().setAutoRead(true);
        context.loop()
                .scheduleWithFixedDelay(
                        this::checkTimeouts,
                        TIMEOUT_CHECK_INTERVAL_MS,
                        TIMEOUT_CHECK_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the address of the peer listener.
     *
     * @return the address with the actual port; null before the start
     */
    public InetSocketAddress localAddress() {
        Channel bound = listener;
        return bound == null ? null : (InetSocketAddress) bound.localAddress();
    }

    @Override
    public void register(PeerTopic topic, PeerHandler handler) {
        topics.register(topic, handler);
    }

    @Override
    public void setAddress(NodeId node, InetSocketAddress address) {
        if (isSelf(node) || closed) {
            return;
        }
        PeerLink link = link(node);
        execute(() -> link.setAddress(address));
    }

    @Override
    public void send(NodeId to, PeerTopic topic, byte[] payload) {
        if (payload.length > context.settings().maxPayloadBytes()) {
            throw new IllegalArgumentException(payloadTooLargeMessage(payload));
        }
        if (closed) {
            context.listener().messageDropped(to);
        } else if (isSelf(to)) {
            execute(() -> sendLocally(topic, payload));
        } else {
            link(to).submit(new QueuedMessage(topic, payload, context.nowMs(), null));
        }
    }

    @Override
    public CompletableFuture<byte[]> request(
            NodeId to, PeerTopic topic, byte[] payload, Duration timeout) {
        long nowMs = context.nowMs();
        PendingRequest request =
                new PendingRequest(
                        to, topic, nowMs + timeout.toMillis(), new CompletableFuture<>());
        if (payload.length > context.settings().maxPayloadBytes()) {
            request.failUnreachable(payloadTooLargeMessage(payload));
        } else if (closed) {
            request.failUnreachable(SHUTTING_DOWN);
        } else if (isSelf(to)) {
            if (!execute(() -> requestLocally(request, payload))) {
                request.failUnreachable(SHUTTING_DOWN);
            }
        } else {
            link(to).submit(new QueuedMessage(topic, payload, nowMs, request));
        }
        return request.future();
    }

    @Override
    public TransportStatus status() {
        List<PeerLinkStatus> statuses =
                new TreeMap<>(links).values().stream().map(PeerLink::status).toList();
        return new TransportStatus(localAddress(), statuses, inbound.peers());
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (listener != null) {
            listener.close();
        }
        execute(
                () -> {
                    links.values().forEach(link -> link.close(SHUTTING_DOWN));
                    inbound.closeAll(SHUTTING_DOWN);
                    localRequests.failAll(SHUTTING_DOWN);
                });
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (!context.loop().inEventLoop()) {
            group.terminationFuture().awaitUninterruptibly(SHUTDOWN_TIMEOUT_MS);
        }
    }

    private void accept(SocketChannel socket) {
        InboundConnection connection = new InboundConnection(context, topics, inbound, socket);
        if (!inbound.add(connection)) {
            socket.close();
            return;
        }
        AcceptorHandshake handshake =
                new AcceptorHandshake(context.peerKey(), context.self(), context.newNonce());
        PeerPipeline.addHandshakeHandlers(
                socket.pipeline(),
                new AcceptorHandler(handshake, context.settings(), context.listener(), connection));
    }

    private void checkTimeouts() {
        try {
            links.values().forEach(PeerLink::checkTimeouts);
            long nowMs = context.nowMs();
            inbound.checkTimeouts(nowMs);
            localRequests.expire(nowMs);
        } catch (RuntimeException e) {
            LOG.error("periodic timeout check failed; it is retried at the next interval", e);
        }
    }

    private void sendLocally(PeerTopic topic, byte[] payload) {
        if (topics.hasHandler(topic.number())) {
            topics.dispatch(context.self().node(), topic.number(), payload);
        }
    }

    private void requestLocally(PendingRequest request, byte[] payload) {
        int number = request.topic().number();
        if (!topics.hasHandler(number)) {
            request.failUnreachable("topic " + number + " has no handler: register one");
            return;
        }
        long id = localRequests.add(request);
        topics.dispatch(context.self().node(), number, payload)
                .whenComplete(
                        (response, failure) ->
                                execute(() -> completeLocalRequest(id, response, failure)));
    }

    private void completeLocalRequest(long id, byte[] response, Throwable failure) {
        PendingRequest request = localRequests.remove(id);
        if (request == null) {
            return;
        }
        if (failure == null) {
            request.complete(response);
        } else {
            request.failUnknown("the handler failed: " + failure.getMessage());
        }
    }

    private PeerLink link(NodeId node) {
        return links.computeIfAbsent(node, added -> new PeerLink(added, context));
    }

    private boolean isSelf(NodeId node) {
        return node.equals(context.self().node());
    }

    private boolean execute(Runnable task) {
        try {
            context.loop().execute(task);
            return true;
        } catch (RejectedExecutionException e) {
            LOG.debug("task rejected because the event loop is shut down", e);
            return false;
        }
    }

    private String payloadTooLargeMessage(byte[] payload) {
        return "the payload has "
                + payload.length
                + " bytes; the maximum is "
                + context.settings().maxPayloadBytes()
                + ": split it";
    }
}
