package org.cardamomthread.daemon.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Joins the chunks of a response that arrive in one read, since each part that is passed on costs
 * as much as a part of many kilobytes, down to a write to the client.
 *
 * <p>Invariants: the order of bytes and messages is kept; nothing is held back beyond the read in
 * which it arrived. Confined to the event loop of its channel.
 */
final class ContentAggregator extends ChannelInboundHandlerAdapter {

    private ByteBuf held;

    private ContentAggregator() {}

    /**
     * Adds an aggregator to the channel of a connection to an endpoint.
     *
     * @param channel a channel whose pipeline has a {@link HttpClientCodec}
     */
    static void addTo(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        String codec = pipeline.context(HttpClientCodec.class).name();
        pipeline.addAfter(codec, null, new ContentAggregator());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        boolean isPlainContent =
                message instanceof HttpContent content
                        && !(message instanceof LastHttpContent)
                        && !content.decoderResult().isFailure();
        if (!isPlainContent) {
            passHeldOn(context);
            context.fireChannelRead(message);
            return;
        }
        HttpContent content = (HttpContent) message;
        try {
            if (held == null) {
                held = context.alloc().buffer();
            }
            held.writeBytes(content.content());
        } finally {
            content.release();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        passHeldOn(context);
        context.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        passHeldOn(context);
        context.fireExceptionCaught(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        passHeldOn(context);
        context.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        if (held != null) {
            held.release();
            held = null;
        }
    }

    private void passHeldOn(ChannelHandlerContext context) {
        if (held != null) {
            ByteBuf bytes = held;
            held = null;
            context.fireChannelRead(new DefaultHttpContent(bytes));
        }
    }
}
