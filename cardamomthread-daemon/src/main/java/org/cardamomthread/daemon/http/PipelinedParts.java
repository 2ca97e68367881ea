package org.cardamomthread.daemon.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Holds the parts of requests that were received before the response to an earlier one.
 *
 * <p>Confined to the connection's event loop.
 */
final class PipelinedParts {

    private static final int MAX_PARTS = 64;

    /** Estimated memory of a part besides its content, in bytes. */
    private static final int OBJECT_BYTES_PER_PART = 128;

    private final Queue<Part> parts = new ArrayDeque<>();
    private long heldBytes;

    /**
     * A part and its memory.
     *
     * @param object the part, which the receiver must release
     * @param bytes the memory that the part takes, in bytes
     */
    record Part(HttpObject object, long bytes) {}

    /** Adds a part, or releases it and returns false if there are too many. */
    boolean add(HttpObject object, long headBytes) {
        if (parts.size() >= MAX_PARTS) {
            ReferenceCountUtil.release(object);
            return false;
        }
        long bytes = headBytes + OBJECT_BYTES_PER_PART;
        HttpObject held = object;
        if (object instanceof HttpContent content && content.content().isReadable()) {
            bytes += content.content().readableBytes();
            // A slice would keep the whole buffer of the read in memory.
            held = content.replace(Unpooled.copiedBuffer(content.content()));
            held.setDecoderResult(object.decoderResult());
            content.release();
        }
        parts.add(new Part(held, bytes));
        heldBytes += bytes;
        return true;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    Part remove() {
        Part part = parts.remove();
        heldBytes -= part.bytes();
        return part;
    }

    long heldBytes() {
        return heldBytes;
    }

    void discardAll() {
        parts.forEach(part -> ReferenceCountUtil.release(part.object()));
        parts.clear();
        heldBytes = 0;
    }
}
