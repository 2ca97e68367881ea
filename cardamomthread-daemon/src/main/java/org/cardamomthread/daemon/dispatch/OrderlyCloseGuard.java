package org.cardamomthread.daemon.dispatch;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/**
 * Accepts the end of a connection as the end of a response only if the endpoint closed the
 * connection in order.
 *
 * <p>The codec ends a response that has neither a length nor chunks as soon as its channel is
 * inactive, whatever the reason: a failed read or write, or a close by this node. Invariant: once
 * the channel is inactive for any other reason than an orderly close by the endpoint, no end of a
 * response is passed on, and a failure is passed on in its place. Confined to the event loop of its
 * channel.
 */
final class OrderlyCloseGuard {

    private boolean hasReadFailed;
    private boolean isClosedInOrder;
    private boolean isInactive;

    private OrderlyCloseGuard() {}

    /**
     * Adds a guard to the channel of a connection to an endpoint.
     *
     * @param channel a channel whose pipeline has a {@link HttpClientCodec}
     */
    static void addTo(Channel channel) {
        // Without half-closure, the channel becomes inactive without an event that tells why.
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        OrderlyCloseGuard guard = new OrderlyCloseGuard();
        ChannelPipeline pipeline = channel.pipeline();
        String codec = pipeline.context(HttpClientCodec.class).name();
        pipeline.addBefore(codec, null, guard.new ConnectionHandler());
        pipeline.addAfter(codec, null, guard.new MessageHandler());
    }

    /** Observes how the connection ends. */
    private final class ConnectionHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            hasReadFailed = true;
            context.fireExceptionCaught(cause);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                isClosedInOrder = !hasReadFailed;
                context.close();
                return;
            }
            context.fireUserEventTriggered(event);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            isInactive = true;
            context.fireChannelInactive();
        }
    }

    /** Replaces an end that the codec has derived from the end of the connection. */
    private final class MessageHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof LastHttpContent && isInactive && !isClosedInOrder) {
                ReferenceCountUtil.release(message);
                context.fireExceptionCaught(
                        new IOException("the endpoint did not close the connection in order"));
                return;
            }
            context.fireChannelRead(message);
        }
    }
}
