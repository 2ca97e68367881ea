package org.cardamomthread.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.ReferenceCountUtil;

/**
 * Fails a response whose status line is none of HTTP/1.0 or HTTP/1.1, or has a status code outside
 * 100 to 599.
 *
 * <p>The codec accepts any version, any number as a code, and any white space around them, so that
 * bytes which are no response in the protocol would pass for one. The heads of interim responses
 * are skipped; the status line behind each is validated too.
 *
 * <p>Invariant: no byte of a line is passed on to the codec before the line has been found valid as
 * far as it has been received. For connections that carry one exchange. Confined to the event loop
 * of its channel.
 */
public final class StatusLineValidator extends ChannelInboundHandlerAdapter {

    /** The bytes of a status line up to the byte behind the code; see {@link #matches}. */
    private static final String PATTERN = "HTTP/1.v cdd ";

    private static final int CODE_INDEX = PATTERN.indexOf('c');

    /** The part of a response that the next byte belongs to. */
    private enum Part {
        STATUS_LINE,
        INTERIM_HEAD,
        FINAL_RESPONSE
    }

    private Part part = Part.STATUS_LINE;
    private int matchedBytes;
    private boolean isInterim;
    private boolean isLineEmpty;
    private boolean isRejected;

    private StatusLineValidator() {}

    /**
     * Adds a validator to the channel of a connection to a server.
     *
     * @param channel a channel whose pipeline has a {@link HttpClientCodec}
     */
    public static void addTo(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        String codec = pipeline.context(HttpClientCodec.class).name();
        pipeline.addBefore(codec, null, new StatusLineValidator());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (isRejected) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (part != Part.FINAL_RESPONSE && !isValid((ByteBuf) message)) {
            isRejected = true;
            ReferenceCountUtil.release(message);
            context.fireExceptionCaught(
                    new CorruptedFrameException(
                            "the response does not begin with a status line of HTTP/1.1"));
            context.close();
            return;
        }
        context.fireChannelRead(message);
    }

    private boolean isValid(ByteBuf bytes) {
        for (int i = bytes.readerIndex(); i < bytes.writerIndex(); i++) {
            byte next = bytes.getByte(i);
            if (part == Part.FINAL_RESPONSE) {
                return true;
            }
            if (part == Part.INTERIM_HEAD) {
                skip(next);
            } else if (!matches(next)) {
                return false;
            }
        }
        return true;
    }

    private boolean matches(byte next) {
        boolean isMatch =
                switch (PATTERN.charAt(matchedBytes)) {
                    case 'v' -> next == '0' || next == '1';
                    case 'c' -> next >= '1' && next <= '5';
                    case 'd' -> next >= '0' && next <= '9';
                    case ' ' -> next == ' ' || isAfterCode() && (next == '\r' || next == '\n');
                    default -> next == PATTERN.charAt(matchedBytes);
                };
        if (matchedBytes == CODE_INDEX) {
            isInterim = next == '1';
        }
        matchedBytes++;
        if (matchedBytes == PATTERN.length()) {
            matchedBytes = 0;
            part = isInterim ? Part.INTERIM_HEAD : Part.FINAL_RESPONSE;
            isLineEmpty = next == '\n';
        }
        return isMatch;
    }

    private boolean isAfterCode() {
        return matchedBytes == PATTERN.length() - 1;
    }

    /** Skips a byte of an interim head, which ends with an empty line. */
    private void skip(byte next) {
        if (next == '\n') {
            part = isLineEmpty ? Part.STATUS_LINE : part;
            isLineEmpty = true;
        } else if (next != '\r') {
            isLineEmpty = false;
        }
    }
}
