package org.cardamomthread.daemon.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Accepts HTTP connections on one address and passes complete requests to a handler.
 *
 * <p>Thread-safe. After {@link #stopAcceptingConnections()}, open connections are served until
 * their responses are sent; {@link #close()} closes the remaining ones.
 */
public final class HttpServer implements AutoCloseable {

    private static final int ACCEPT_BACKLOG = 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private final String name;
    private final EventLoopGroup eventLoops;
    private final HttpLimits limits;
    private final ClientGuard guard;
    private final HttpHandler handler;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger openConnections = new AtomicInteger();
    private final ServerState state = new ServerState();
    private volatile Channel serverChannel;

    /**
     * Creates a server that does not listen yet.
     *
     * @param name the name of the listener in the settings and in messages, such as {@code callers}
     * @param eventLoops the event loops that serve the connections; not closed by the server
     * @param limits the limits on connections and requests
     * @param handler handles the requests
     */
    public HttpServer(
            String name, EventLoopGroup eventLoops, HttpLimits limits, HttpHandler handler) {
        this(name, eventLoops, limits, ClientGuard.createDefault(), handler);
    }

    /**
     * Creates a server that does not listen yet and shares a guard with others.
     *
     * @param name the name of the listener in the settings and in messages, such as {@code callers}
     * @param eventLoops the event loops that serve the connections; not closed by the server
     * @param limits the limits on connections and requests
     * @param guard the limits on clients that send without bound, for all listeners of the process
     * @param handler handles the requests
     */
    public HttpServer(
            String name,
            EventLoopGroup eventLoops,
            HttpLimits limits,
            ClientGuard guard,
            HttpHandler handler) {
        this.name = name;
        this.eventLoops = eventLoops;
        this.limits = limits;
        this.guard = guard;
        this.handler = handler;
    }

    /**
     * Binds the address and starts to accept connections.
     *
     * @param address the address to listen on; port 0 selects a free port
     * @throws ListenerBindException if the address is in use or does not belong to this host
     */
    public void listen(InetSocketAddress address) throws ListenerBindException {
        bind(address);
        startAccepting();
    }

    /**
     * Binds the address; connections wait until {@link #startAccepting()}.
     *
     * @param address the address to listen on; port 0 selects a free port
     * @throws ListenerBindException if the address is in use or does not belong to this host
     */
    public void bind(InetSocketAddress address) throws ListenerBindException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(eventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.AUTO_READ, false)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.RECVBUF_ALLOCATOR, FairReads.createAllocator())
                        .childHandler(new ConnectionInitializer());
        var bindFuture = bootstrap.bind(address).awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            throw new ListenerBindException(name, address, bindFuture.cause());
        }
        serverChannel = bindFuture.channel();
    }

    /** Starts to accept connections on the bound address. */
    public void startAccepting() {
        serverChannel.config().setAutoRead(true);
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the bound address
     */
    public InetSocketAddress getAddress() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /**
     * Adds {@code Connection: close} to further responses, so that callers close their connections.
     */
    public void startDraining() {
        state.startDraining();
    }

    /** Starts draining and closes the listening socket; open connections remain open. */
    public void stopAcceptingConnections() {
        state.startDraining();
        Channel channel = serverChannel;
        if (channel != null) {
            channel.close().awaitUninterruptibly();
        }
    }

    /**
     * Starts draining and closes each connection as soon as no request is in progress on it. New
     * connections are still accepted, so that their requests get a response.
     */
    public void closeIdleConnections() {
        state.startClosingIdleConnections();
        connections.forEach(
                connection ->
                        connection
                                .pipeline()
                                .fireUserEventTriggered(HttpConnectionHandler.DrainEvent.DRAIN));
    }

    /**
     * Returns the number of requests that are being received or whose response is incomplete.
     *
     * @return the number of requests in progress
     */
    public int getRequestsInProgress() {
        return state.getRequestsInProgress();
    }

    @Override
    public void close() {
        stopAcceptingConnections();
        connections.close().awaitUninterruptibly();
    }

    /** Configures the pipeline of each accepted connection; closes those beyond the limit. */
    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

        @Override
        protected void initChannel(SocketChannel channel) {
            if (openConnections.incrementAndGet() > limits.maxConnections()
                    && !closeLongestIdleConnection()) {
                openConnections.decrementAndGet();
                guard.listener().onLimitReached(name, LimitReason.CONNECTIONS);
                channel.close();
                return;
            }
            connections.add(channel);
            channel.closeFuture().addListener(closed -> openConnections.decrementAndGet());
            HttpDecoderConfig decoderConfig =
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(limits.maxHeaderBytes())
                            .setMaxHeaderSize(limits.maxHeaderBytes())
                            .setMaxChunkSize(MAX_CHUNK_BYTES);
            LimitedServerCodec codec = new LimitedServerCodec(decoderConfig, guard.limits());
            channel.pipeline()
                    .addLast(codec)
                    .addLast(
                            new IdleStateHandler(
                                    true,
                                    limits.idleTimeoutMs(),
                                    guard.limits().responseStallTimeoutMs(),
                                    0,
                                    TimeUnit.MILLISECONDS))
                    .addLast(
                            new HttpConnectionHandler(
                                    name, limits, guard, codec.decoder(), handler, state));
        }

        /** Makes room for a connection; returns false if a request is in progress on each. */
        private boolean closeLongestIdleConnection() {
            ChannelHandlerContext selected = null;
            HttpConnectionHandler selectedHandler = null;
            for (Channel connection : connections) {
                ChannelHandlerContext context =
                        connection.pipeline().context(HttpConnectionHandler.class);
                if (context == null) {
                    continue;
                }
                HttpConnectionHandler candidate = (HttpConnectionHandler) context.handler();
                boolean isSelected =
                        candidate.isIdle()
                                && (selected == null
                                        || candidate.lastProgressMs()
                                                < selectedHandler.lastProgressMs());
                if (isSelected) {
                    selected = context;
                    selectedHandler = candidate;
                }
            }
            if (selected == null) {
                return false;
            }
            ChannelHandlerContext idle = selected;
            HttpConnectionHandler idleHandler = selectedHandler;
            if (idle.executor().inEventLoop()) {
                idleHandler.closeIfIdle(idle);
            } else {
                idle.executor().execute(() -> idleHandler.closeIfIdle(idle));
            }
            return true;
        }
    }
}
