package org.cardamomthread.transport;

import io.netty.channel.ChannelHandlerContext;
import org.cardamomthread.transport.generated.Handshake;

/**
 * Runs the acceptor's side of the handshake.
 *
 * <p>Used on the thread of the transport only.
 */
final class AcceptorHandler extends HandshakeHandler {

    private final AcceptorHandshake handshake;

    AcceptorHandler(
            AcceptorHandshake handshake,
            TransportSettings settings,
            TransportListener listener,
            ConnectionEvents events) {
        super(settings, listener, events);
        this.handshake = handshake;
    }

    @Override
    void handleStep(ChannelHandlerContext context, Handshake step) throws HandshakeException {
        if (step.hasConfirmation()) {
            establish(context, handshake.accept(step.getConfirmation()));
            return;
        }
        write(
                context,
                Handshake.newBuilder().setChallenge(handshake.challenge(step.getHello())).build());
    }
}
