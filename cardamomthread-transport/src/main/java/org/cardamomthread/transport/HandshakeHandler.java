package org.cardamomthread.transport;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.cardamomthread.transport.generated.Handshake;
import org.cardamomthread.transport.generated.Refusal;

/**
 * Channel handler that performs the handshake of one connection and then replaces itself with a
 * {@link SealedFrameHandler}.
 *
 * <p>Confined to the event loop of the transport.
 */
abstract class HandshakeHandler extends SimpleChannelInboundHandler<ByteBuf> {

    private final TransportSettings settings;
    private final TransportListener listener;
    private final ConnectionEvents events;

    HandshakeHandler(
            TransportSettings settings, TransportListener listener, ConnectionEvents events) {
        this.settings = settings;
        this.listener = listener;
        this.events = events;
    }

    /** Processes one handshake message from the peer. */
    abstract void handleStep(ChannelHandlerContext context, Handshake handshake)
            throws HandshakeException;

    final void write(ChannelHandlerContext context, Handshake handshake) {
        context.writeAndFlush(Unpooled.wrappedBuffer(handshake.toByteArray()));
    }

    /** Replaces this handler with the frame handler. Frames may follow in the same packet. */
    final void establish(ChannelHandlerContext context, Session session) {
        PeerChannel channel = new PeerChannel(context.channel(), session, listener);
        PeerPipeline.switchToFrames(
                context.pipeline(),
                settings,
                this,
                new SealedFrameHandler(session, listener, events),
                () -> events.onEstablished(channel));
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext context, ByteBuf buffer)
            throws HandshakeException {
        Handshake handshake = parse(ByteBufUtil.getBytes(buffer));
        if (handshake.hasRefusal()) {
            throw new HandshakeException(
                    "the peer refused the connection: " + handshake.getRefusal().getReason());
        }
        handleStep(context, handshake);
    }

    @Override
    public final void channelInactive(ChannelHandlerContext context) {
        events.onClosed("the connection was closed during the handshake");
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        String reason = String.valueOf(cause.getMessage());
        Refusal refusal = Refusal.newBuilder().setReason(reason).build();
        Handshake handshake = Handshake.newBuilder().setRefusal(refusal).build();
        context.writeAndFlush(Unpooled.wrappedBuffer(handshake.toByteArray()))
                .addListener(ChannelFutureListener.CLOSE);
        events.onClosed(reason);
    }

    private static Handshake parse(byte[] bytes) throws HandshakeException {
        try {
            return Handshake.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new HandshakeException(
                    "the received bytes are not a handshake message: connect nodes of this"
                            + " deployment only to the peer listener");
        }
    }
}
