package org.cardamomthread.standin.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves HTTP/1.1 on a single event loop thread, to which the state of the handler is confined.
 *
 * <p>Thread-safe.
 */
public final class HttpListener implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(HttpListener.class);
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final int BACKLOG = 4_096;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Channel channel;

    /**
     * Binds a listener to an address.
     *
     * @param listen the address; port 0 selects a free port
     * @param handler called for each request on the event loop thread
     * @throws IOException if the address cannot be bound
     */
    public HttpListener(InetSocketAddress listen, ExchangeHandler handler) throws IOException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel socket) {
                                        socket.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                                .addLast(new RequestDispatcher(handler));
                                    }
                                })
                        .bind(listen)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw new IOException(
                    "listener " + listen + " could not be opened: choose a free port",
                    bound.cause());
        }
        channel = bound.channel();
    }

    /**
     * Returns the bound address.
     *
     * @return the address with the actual port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /**
     * Returns the event loop of the server.
     *
     * @return the event loop
     */
    public EventLoop loop() {
        return (EventLoop) group.next();
    }

    /** Waits until the listener is closed. */
    public void awaitClose() {
        channel.closeFuture().awaitUninterruptibly();
    }

    @Override
    public void close() {
        channel.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Passes requests to the handler and responds to invalid ones with status 400. */
    private static final class RequestDispatcher
            extends SimpleChannelInboundHandler<FullHttpRequest> {

        private static final int BAD_REQUEST = 400;

        private final ExchangeHandler handler;

        RequestDispatcher(ExchangeHandler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Exchange exchange = new Exchange(context.channel(), request);
            try {
                handler.handle(exchange);
            } catch (IOException | IllegalArgumentException e) {
                exchange.reply(BAD_REQUEST, Json.object().put("detail", e.getMessage()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debug("connection failed", cause);
            context.close();
        }
    }
}
