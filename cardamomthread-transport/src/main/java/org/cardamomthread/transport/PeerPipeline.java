package org.cardamomthread.transport;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/**
 * Configures the channel pipeline of a connection.
 *
 * <p>Stateless and thread-safe.
 */
final class PeerPipeline {

    /**
     * Maximum size of a handshake message, in bytes. Limits the memory that an unauthenticated peer
     * can occupy.
     */
    static final int MAX_HANDSHAKE_BYTES = 2_048;

    private static final String DECODER = "decoder";

    private PeerPipeline() {}

    static void addHandshakeHandlers(ChannelPipeline pipeline, HandshakeHandler handshakeHandler) {
        pipeline.addLast(DECODER, decoder(MAX_HANDSHAKE_BYTES));
        pipeline.addLast(new LengthFieldPrepender(PeerChannel.LENGTH_BYTES));
        pipeline.addLast(handshakeHandler);
    }

    /**
     * Replaces the handshake handler with the frame handler.
     *
     * @param established called before the first frame is processed
     */
    static void switchToFrames(
            ChannelPipeline pipeline,
            TransportSettings settings,
            HandshakeHandler handshakeHandler,
            SealedFrameHandler frameHandler,
            Runnable established) {
        pipeline.replace(handshakeHandler, "frames", frameHandler);
        established.run();
        pipeline.replace(DECODER, DECODER, decoder(settings.maxFrameBytes()));
    }

    private static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
        return new LengthFieldBasedFrameDecoder(
                maxBytes, 0, PeerChannel.LENGTH_BYTES, 0, PeerChannel.LENGTH_BYTES);
    }
}
