package org.cardamomthread.transport;

import io.netty.channel.ChannelHandlerContext;
import org.cardamomthread.transport.generated.Handshake;

/**
 * Channel handler that performs the acceptor's side of the handshake.
 *
 * <p>Confined to the event loop of the transport.
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
