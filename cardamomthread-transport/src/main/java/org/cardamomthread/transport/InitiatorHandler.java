package org.cardamomthread.transport;

import io.netty.channel.ChannelHandlerContext;
import org.cardamomthread.transport.generated.Handshake;

/**
 * Channel handler that performs the initiator's side of the handshake.
 *
 * <p>Confined to the event loop of the transport.
 */
final class InitiatorHandler extends HandshakeHandler {

    private final InitiatorHandshake handshake;

    InitiatorHandler(
            InitiatorHandshake handshake,
            TransportSettings settings,
            TransportListener listener,
            ConnectionEvents events) {
        super(settings, listener, events);
        this.handshake = handshake;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        write(context, Handshake.newBuilder().setHello(handshake.hello()).build());
    }

    @Override
    void handleStep(ChannelHandlerContext context, Handshake step) throws HandshakeException {
        if (!step.hasChallenge()) {
            throw new HandshakeException(
                    "the peer sent no challenge as the second step of the handshake");
        }
        Handshake confirmation =
                Handshake.newBuilder()
                        .setConfirmation(handshake.confirm(step.getChallenge()))
                        .build();
        write(context, confirmation);
        establish(context, handshake.session());
    }
}
