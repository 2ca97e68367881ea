package org.cardamomthread.transport;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cardamomthread.core.id.Identifiers;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.transport.generated.AcceptorParameters;
import org.cardamomthread.transport.generated.Challenge;
import org.cardamomthread.transport.generated.Confirmation;
import org.cardamomthread.transport.generated.Hello;

/**
 * Handshake protocol of the side that opened the connection, without I/O.
 *
 * <p>Invariant: a session is created only after the peer has proved that it holds the peer key and
 * is the target node. Not thread-safe.
 */
final class InitiatorHandshake {

    private final byte[] peerKey;
    private final NodeId target;
    private final ByteString hello;
    private Session session;

    InitiatorHandshake(byte[] peerKey, PeerIdentity self, NodeId target, byte[] nonce) {
        this.peerKey = peerKey;
        this.target = target;
        hello =
                Hello.newBuilder()
                        .setProtocolVersion(HandshakeProof.PROTOCOL_VERSION)
                        .setNode(self.node().value())
                        .setTarget(target.value())
                        .setIncarnation(self.incarnation())
                        .setNonce(ByteString.copyFrom(nonce))
                        .build()
                        .toByteString();
    }

    ByteString hello() {
        return hello;
    }

    Confirmation confirm(Challenge challenge) throws HandshakeException {
        HandshakeProof proof = new HandshakeProof(peerKey, hello, challenge.getParameters());
        if (!HandshakeProof.constantTimeEquals(proof.acceptorProof(), challenge.getProof())) {
            throw new HandshakeException(
                    "the process that listens for node \""
                            + target
                            + "\" uses another peer key: set the same one on all nodes");
        }
        PeerIdentity peer = parse(challenge.getParameters());
        if (!peer.node().equals(target)) {
            throw new HandshakeException(
                    "node \""
                            + peer.node()
                            + "\" listens at the address of node \""
                            + target
                            + "\": correct the address");
        }
        session =
                new Session(
                        peer,
                        new FrameSealer(proof.initiatorFrameKey()),
                        new FrameOpener(proof.acceptorFrameKey()));
        return Confirmation.newBuilder().setProof(proof.initiatorProof()).build();
    }

    Session session() {
        return session;
    }

    private static PeerIdentity parse(ByteString bytes) throws HandshakeException {
        try {
            AcceptorParameters parameters = AcceptorParameters.parseFrom(bytes);
            if (Identifiers.isValid(parameters.getNode())) {
                return new PeerIdentity(
                        new NodeId(parameters.getNode()), parameters.getIncarnation());
            }
        } catch (InvalidProtocolBufferException e) {
            throw new HandshakeException(
                    "the peer's AcceptorParameters are malformed (" + e.getMessage() + ")");
        }
        throw new HandshakeException(
                "the peer's AcceptorParameters do not contain a valid node identifier");
    }
}
