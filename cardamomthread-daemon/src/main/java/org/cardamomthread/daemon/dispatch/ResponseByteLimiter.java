package org.cardamomthread.daemon.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Closes a connection on which an endpoint sends bytes that belong to no response, and discards
 * interim responses, which AsyncHttpClient would take for the final one.
 *
 * <p>Invariants: no more than {@value #MAX_UNUSED_BYTES} bytes are read without a part of the
 * expected response among them, and none while no response is expected. Confined to the event loop
 * of its channel.
 */
final class ResponseByteLimiter {

    /** More than the head of a response may have, and than one read can hold. */
    static final int MAX_UNUSED_BYTES = 128 * 1024;

    private static final Logger LOGGER = LoggerFactory.getLogger(ResponseByteLimiter.class);

    private boolean isResponseExpected;
    private boolean isInterimResponse;
    private long unusedBytes;

    private ResponseByteLimiter() {}

    /**
     * Adds a limiter to the channel of a connection to an endpoint.
     *
     * @param channel a channel whose pipeline has a {@link HttpClientCodec}
     */
    static void addTo(Channel channel) {
        ResponseByteLimiter limiter = new ResponseByteLimiter();
        ChannelPipeline pipeline = channel.pipeline();
        String codec = pipeline.context(HttpClientCodec.class).name();
        pipeline.addBefore(codec, null, limiter.new ByteHandler());
        pipeline.addAfter(codec, null, limiter.new MessageHandler());
    }

    private void reject(ChannelHandlerContext context, String reason) {
        LOGGER.atInfo()
                .addKeyValue("endpoint", context.channel().remoteAddress())
                .log("connection to an endpoint closed: {}", reason);
        context.fireExceptionCaught(new TooLongFrameException(reason));
        context.close();
    }

    /** Counts the received bytes before they are decoded. */
    private final class ByteHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            int bytes = ((ByteBuf) message).readableBytes();
            if (!isResponseExpected) {
                ReferenceCountUtil.release(message);
                reject(context, bytes + " bytes arrived while no response was expected");
                return;
            }
            unusedBytes += bytes;
            context.fireChannelRead(message);
            if (unusedBytes > MAX_UNUSED_BYTES && context.channel().isActive()) {
                reject(
                        context,
                        unusedBytes
                                + " bytes arrived without a part of the response, the maximum is "
                                + MAX_UNUSED_BYTES);
            }
        }
    }

    /** Follows the requests and the parts of their responses. */
    private final class MessageHandler extends ChannelDuplexHandler {

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof HttpRequest) {
                isResponseExpected = true;
                unusedBytes = 0;
            }
            context.write(message, promise);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!isResponseExpected) {
                ReferenceCountUtil.release(message);
                reject(context, "a message arrived after the response");
                return;
            }
            if (message instanceof HttpResponse response) {
                isInterimResponse = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            }
            if (isInterimResponse && !isInvalid(message)) {
                ReferenceCountUtil.release(message);
                return;
            }
            boolean isContent =
                    message instanceof HttpContent content && content.content().isReadable();
            if (message instanceof HttpResponse || isContent) {
                unusedBytes = 0;
            }
            if (message instanceof LastHttpContent) {
                isResponseExpected = false;
            }
            context.fireChannelRead(message);
        }

        private static boolean isInvalid(Object message) {
            return message instanceof HttpObject part && part.decoderResult().isFailure();
        }
    }
}
