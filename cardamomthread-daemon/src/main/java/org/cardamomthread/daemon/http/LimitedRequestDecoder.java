package org.cardamomthread.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Queue;

/**
 * Decodes requests, and fails one whose head or chunks exceed the {@link ClientLimits}.
 *
 * <p>Lines of a head are counted before they are decoded, since each becomes objects of many times
 * its length. Invariant: once a limit was exceeded, all further bytes are discarded. Confined to
 * the connection's event loop.
 */
final class LimitedRequestDecoder extends HttpRequestDecoder {

    /** Memory of the objects that one header line becomes, besides its text, in bytes. */
    private static final int OBJECT_BYTES_PER_LINE = 160;

    /** Memory of a request without header lines, in bytes. */
    private static final int OBJECT_BYTES_PER_REQUEST = 512;

    /** Lines without content between two chunks: the end of one and the size of the next. */
    private static final int LINES_BETWEEN_CHUNKS = 2;

    private static final int EMPTY_LINE_BYTES = 2;

    private final ClientLimits limits;
    private final Queue<HttpMethod> methods;
    private boolean isInBody;
    private boolean hasRequestLineBegun;
    private boolean isFailed;
    private int emptyBytes;
    private int headLines;
    private long headBytes;
    private long lastHeadBytes;
    private int linesWithoutContent;
    private long framingBytes;
    private int undecodedBytes;

    /** Creates a decoder that adds the method of each request to a queue for the encoder. */
    LimitedRequestDecoder(
            HttpDecoderConfig config, ClientLimits limits, Queue<HttpMethod> methods) {
        super(config);
        this.limits = limits;
        this.methods = methods;
    }

    /** Returns the memory held for a head, or part of a body, that is not complete, in bytes. */
    long heldBytes() {
        return headObjectBytes() + undecodedBytes;
    }

    /** Returns the memory of the request that was decoded last, without its body, in bytes. */
    long lastHeadBytes() {
        return lastHeadBytes;
    }

    /** Returns whether a head, or an empty line before it, was received in part. */
    boolean hasPartialHead() {
        return !isInBody && !isFailed && (emptyBytes > 0 || hasRequestLineBegun);
    }

    /** Discards what is received from now on. */
    void discardAll() {
        isFailed = true;
        headBytes = 0;
        headLines = 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        if (isFailed) {
            in.skipBytes(in.readableBytes());
            undecodedBytes = 0;
            return;
        }
        if (isInBody) {
            decodeBody(context, in, out);
        } else {
            decodeHead(context, in, out);
        }
        undecodedBytes = in.isReadable() ? in.capacity() : 0;
    }

    private void decodeHead(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        if (!hasRequestLineBegun) {
            skipEmptyLines(in);
            if (emptyBytes > limits.maxEmptyLines() * EMPTY_LINE_BYTES) {
                fail(in, out, out.size(), LimitReason.EMPTY_LINES);
                return;
            }
            if (!in.isReadable()) {
                return;
            }
            hasRequestLineBegun = true;
        }
        headLines += countLines(in);
        if (headLines - 1 > limits.maxHeaderLines()) {
            fail(in, out, out.size(), LimitReason.HEADER_LINES);
            return;
        }
        int start = in.readerIndex();
        int firstNew = out.size();
        super.decode(context, in, out);
        headBytes += in.readerIndex() - start;
        update(out, firstNew);
    }

    /**
     * Skips empty lines, so that they are counted once. Other characters that begin no request are
     * left to the decoder, which refuses them at once.
     */
    private void skipEmptyLines(ByteBuf in) {
        while (in.isReadable()) {
            byte next = in.getByte(in.readerIndex());
            if (next != '\r' && next != '\n') {
                return;
            }
            in.skipBytes(1);
            emptyBytes++;
        }
    }

    /** Counts the complete lines up to the end of the head; the decoder consumes just these. */
    private static int countLines(ByteBuf in) {
        int lines = 0;
        int start = in.readerIndex();
        int end = in.indexOf(start, in.writerIndex(), (byte) '\n');
        while (end >= 0) {
            boolean isBlank = end == start || end == start + 1 && in.getByte(start) == '\r';
            if (isBlank) {
                return lines;
            }
            lines++;
            start = end + 1;
            end = in.indexOf(start, in.writerIndex(), (byte) '\n');
        }
        return lines;
    }

    private void decodeBody(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        int start = in.readerIndex();
        int firstNew = out.size();
        super.decode(context, in, out);
        int contentBytes = 0;
        for (Object part : out.subList(firstNew, out.size())) {
            contentBytes += part instanceof HttpContent body ? body.content().readableBytes() : 0;
        }
        framingBytes += in.readerIndex() - start - contentBytes;
        linesWithoutContent =
                contentBytes > 0
                        ? 0
                        : linesWithoutContent + countLineFeeds(in, start, in.readerIndex());
        boolean isFramingExceeded = framingBytes > limits.maxChunkFramingBytes();
        if (isFramingExceeded
                || linesWithoutContent > limits.maxHeaderLines() + LINES_BETWEEN_CHUNKS) {
            LimitReason reason =
                    isFramingExceeded ? LimitReason.CHUNK_FRAMING : LimitReason.TRAILER_LINES;
            fail(in, out, firstNew, reason);
            return;
        }
        update(out, firstNew);
    }

    private static int countLineFeeds(ByteBuf in, int start, int end) {
        int count = 0;
        for (int i = in.indexOf(start, end, (byte) '\n');
                i >= 0;
                i = in.indexOf(i + 1, end, (byte) '\n')) {
            count++;
        }
        return count;
    }

    private void update(List<Object> out, int firstNew) {
        for (int i = firstNew; i < out.size(); i++) {
            Object part = out.get(i);
            if (part instanceof HttpRequest request) {
                methods.add(request.method());
                isInBody = true;
                lastHeadBytes = headObjectBytes();
                headBytes = 0;
                headLines = 0;
                framingBytes = 0;
                linesWithoutContent = 0;
            }
            if (part instanceof LastHttpContent) {
                isInBody = false;
                hasRequestLineBegun = false;
                emptyBytes = 0;
            }
            if (part instanceof HttpObject object && object.decoderResult().isFailure()) {
                isFailed = true;
            }
        }
    }

    private long headObjectBytes() {
        return headBytes == 0
                ? 0
                : OBJECT_BYTES_PER_REQUEST + headBytes + (long) headLines * OBJECT_BYTES_PER_LINE;
    }

    /** Replaces what was decoded in this call, so that a request over a limit is never run. */
    private void fail(ByteBuf in, List<Object> out, int firstNew, LimitReason reason) {
        while (out.size() > firstNew) {
            ReferenceCountUtil.release(out.remove(out.size() - 1));
        }
        LastHttpContent failed = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
        failed.setDecoderResult(DecoderResult.failure(new ClientLimitException(reason)));
        out.add(failed);
        in.skipBytes(in.readableBytes());
        discardAll();
    }
}
