package org.cardamomthread.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import org.cardamomthread.transport.generated.Frame;
import org.cardamomthread.transport.generated.SealedFrame;

/**
 * Seals frames and writes them to an established connection.
 *
 * <p>Confined to the event loop of the transport.
 */
final class PeerChannel {

    /** Size of the length field that precedes each frame, in bytes. */
    static final int LENGTH_BYTES = Integer.BYTES;

    private final Channel channel;
    private final Session session;
    private final TransportListener listener;

    PeerChannel(Channel channel, Session session, TransportListener listener) {
        this.channel = channel;
        this.session = session;
        this.listener = listener;
    }

    PeerIdentity peer() {
        return session.peer();
    }

    void write(Frame frame) {
        SealedFrame sealed = session.sealer().seal(frame);
        byte[] bytes = sealed.toByteArray();
        channel.write(Unpooled.wrappedBuffer(bytes), channel.voidPromise());
        listener.frameSent(session.peer().node(), bytes.length + LENGTH_BYTES);
    }

    void writeAndFlush(Frame frame) {
        write(frame);
        flush();
    }

    void flush() {
        channel.flush();
    }

    boolean isWritable() {
        return channel.isWritable();
    }

    /** Returns the number of bytes that must be written before the channel is writable again. */
    long bytesBeforeWritable() {
        return channel.bytesBeforeWritable();
    }

    void close() {
        channel.close();
    }
}
