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

    private final Queue<HttpObject> parts = new ArrayDeque<>();

    /** Adds a part, or releases it and returns false if there are too many. */
    boolean add(HttpObject object) {
        if (parts.size() >= MAX_PARTS) {
            ReferenceCountUtil.release(object);
            return false;
        }
        HttpObject held = object;
        if (object instanceof HttpContent content && content.content().isReadable()) {
            // A slice would keep the whole buffer of the read in memory.
            held = content.replace(Unpooled.copiedBuffer(content.content()));
            held.setDecoderResult(object.decoderResult());
            content.release();
        }
        parts.add(held);
        return true;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    HttpObject remove() {
        return parts.remove();
    }

    void discardAll() {
        parts.forEach(ReferenceCountUtil::release);
        parts.clear();
    }
}
