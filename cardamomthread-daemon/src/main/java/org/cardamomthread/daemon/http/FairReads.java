package org.cardamomthread.daemon.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Bounds what is read from one connection before the other connections of its event loop get their
 * turn, whoever has opened it. Stateless.
 */
public final class FairReads {

    /** Decoding the shortest chunks takes about a millisecond for as many bytes. */
    public static final int MAX_READ_BYTES = 16 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 * 1024;

    private FairReads() {}

    /**
     * Creates an allocator of read buffers with which a channel reads at most {@value
     * #MAX_READ_BYTES} bytes in one turn.
     *
     * @return an allocator that any number of channels may share
     */
    public static RecvByteBufAllocator createAllocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(1);
    }
}
