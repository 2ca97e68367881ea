package org.cardamomthread.daemon.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Accepts connections on one address and hands whole requests to a handler.
 *
 * <p>Safe for use by several threads. After {@link #stopAccepting()} open connections are served
 * until they have answered; {@link #close()} closes what is left.
 */
public final class HttpServer implements AutoCloseable {

    private static final int ACCEPT_BACKLOG = 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private final String name;
    private final EventLoopGroup eventLoops;
    private final HttpLimits limits;
    private final HttpHandler handler;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger openConnections = new AtomicInteger();
    private final ServerActivity activity = new ServerActivity();
    private volatile Channel listener;

    /**
     * Creates a server that does not listen yet.
     *
     * @param name the listener's name in messages, such as {@code callers}
     * @param eventLoops the event loops that serve its connections
     * @param limits the bounds on what a peer can send
     * @param handler answers the requests
     */
    public HttpServer(
            String name, EventLoopGroup eventLoops, HttpLimits limits, HttpHandler handler) {
        this.name = name;
        this.eventLoops = eventLoops;
        this.limits = limits;
        this.handler = handler;
    }

    /**
     * Begins to listen.
     *
     * @param address the address; port 0 takes a free one
     * @throws ListenException if the address is in use or not on this host
     */
    public void listen(InetSocketAddress address) throws ListenException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(eventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new ConnectionInitializer());
        var bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new ListenException(name, address, bound.cause());
        }
        listener = bound.channel();
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the bound address
     */
    public InetSocketAddress getAddress() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Asks callers to open no further request on their connections, by header. */
    public void startDraining() {
        activity.startDraining();
    }

    /** Closes the listening socket; open connections stay. */
    public void stopAccepting() {
        activity.startDraining();
        Channel open = listener;
        if (open != null) {
            open.close().awaitUninterruptibly();
        }
    }

    /**
     * Closes the listening socket and each open connection as soon as it carries no request, so
     * that no further request is read that the remaining time may not suffice for.
     */
    public void stopTakingRequests() {
        stopAccepting();
        activity.startClosingIdle();
        connections.forEach(
                connection ->
                        connection
                                .pipeline()
                                .fireUserEventTriggered(HttpConnectionHandler.DrainEvent.DRAIN));
    }

    /**
     * Returns the number of requests that have begun to arrive and are not yet answered whole.
     *
     * @return requests in progress
     */
    public int getRequestsInProgress() {
        return activity.getRequestsInProgress();
    }

    @Override
    public void close() {
        stopAccepting();
        connections.close().awaitUninterruptibly();
    }

    /** Sets up each accepted connection. */
    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

        @Override
        protected void initChannel(SocketChannel channel) {
            if (openConnections.incrementAndGet() > limits.maxConnections()) {
                openConnections.decrementAndGet();
                channel.close();
                return;
            }
            connections.add(channel);
            channel.closeFuture().addListener(closed -> openConnections.decrementAndGet());
            HttpDecoderConfig decoding =
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(limits.maxHeaderBytes())
                            .setMaxHeaderSize(limits.maxHeaderBytes())
                            .setMaxChunkSize(MAX_CHUNK_BYTES);
            channel.pipeline()
                    .addLast(new HttpServerCodec(decoding))
                    .addLast(
                            new IdleStateHandler(
                                    limits.idleTimeoutMs(), 0, 0, TimeUnit.MILLISECONDS))
                    .addLast(new HttpConnectionHandler(limits, handler, activity));
        }
    }
}
