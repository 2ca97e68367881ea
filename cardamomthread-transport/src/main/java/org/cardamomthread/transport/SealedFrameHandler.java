package org.cardamomthread.transport;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.cardamomthread.transport.generated.Frame;
import org.cardamomthread.transport.generated.SealedFrame;

/**
 * Channel handler that verifies the frames of an established connection and closes the connection
 * on the first invalid one.
 *
 * <p>Confined to the event loop of the transport.
 */
final class SealedFrameHandler extends SimpleChannelInboundHandler<ByteBuf> {

    private final Session session;
    private final TransportListener listener;
    private final ConnectionEvents events;

    SealedFrameHandler(Session session, TransportListener listener, ConnectionEvents events) {
        this.session = session;
        this.listener = listener;
        this.events = events;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer)
            throws FrameException {
        int wireBytes = buffer.readableBytes() + PeerChannel.LENGTH_BYTES;
        Frame frame = session.opener().open(parse(ByteBufUtil.getBytes(buffer)));
        listener.frameReceived(session.peer().node(), wireBytes);
        events.onFrame(frame);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            events.onWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        events.onClosed("the connection was closed by the peer or the network");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        events.onClosed(String.valueOf(cause.getMessage()));
        context.close();
    }

    private static SealedFrame parse(byte[] bytes) throws FrameException {
        try {
            return SealedFrame.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new FrameException(
                    "the received bytes are not a valid SealedFrame message ("
                            + e.getMessage()
                            + "): the connection is closed");
        }
    }
}
