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
 * Handshake protocol of the side that accepted the connection, without I/O.
 *
 * <p>Invariant: a session is created only after the peer has proved that it holds the peer key and
 * intends to reach this node. Not thread-safe.
 */
final class AcceptorHandshake {

    private final byte[] peerKey;
    private final PeerIdentity self;
    private final byte[] nonce;
    private PeerIdentity initiator;
    private HandshakeProof proof;

    AcceptorHandshake(byte[] peerKey, PeerIdentity self, byte[] nonce) {
        this.peerKey = peerKey;
        this.self = self;
        this.nonce = nonce.clone();
    }

    Challenge challenge(ByteString helloBytes) throws HandshakeException {
        if (proof != null) {
            throw new HandshakeException("the peer sent more than one Hello in the handshake");
        }
        Hello hello = parse(helloBytes);
        validate(hello);
        initiator = new PeerIdentity(new NodeId(hello.getNode()), hello.getIncarnation());
        ByteString parameters =
                AcceptorParameters.newBuilder()
                        .setNode(self.node().value())
                        .setIncarnation(self.incarnation())
                        .setNonce(ByteString.copyFrom(nonce))
                        .build()
                        .toByteString();
        proof = new HandshakeProof(peerKey, helloBytes, parameters);
        return Challenge.newBuilder()
                .setParameters(parameters)
                .setProof(proof.acceptorProof())
                .build();
    }

    Session accept(Confirmation confirmation) throws HandshakeException {
        if (proof == null) {
            throw new HandshakeException("the peer sent a Confirmation without a preceding Hello");
        }
        if (!HandshakeProof.constantTimeEquals(proof.initiatorProof(), confirmation.getProof())) {
            throw new HandshakeException(
                    "the process that claims to be node \""
                            + initiator.node()
                            + "\" uses another peer key: set the same one on all nodes");
        }
        return new Session(
                initiator,
                new FrameSealer(proof.acceptorFrameKey()),
                new FrameOpener(proof.initiatorFrameKey()));
    }

    private void validate(Hello hello) throws HandshakeException {
        if (hello.getProtocolVersion() != HandshakeProof.PROTOCOL_VERSION) {
            throw new HandshakeException(
                    "the peer uses protocol version "
                            + hello.getProtocolVersion()
                            + " but this node requires "
                            + HandshakeProof.PROTOCOL_VERSION
                            + ": run compatible releases on both nodes");
        }
        if (!hello.getTarget().equals(self.node().value())) {
            throw new HandshakeException(
                    "this is node \""
                            + self.node()
                            + "\", not the target of the Hello: correct its address");
        }
        if (!Identifiers.isValid(hello.getNode()) || isSelf(hello)) {
            throw new HandshakeException(
                    "the Hello must contain a valid node identifier of another node");
        }
        if (hello.getNonce().size() != HandshakeProof.NONCE_BYTES) {
            throw new HandshakeException(
                    "the nonce of the Hello must have " + HandshakeProof.NONCE_BYTES + " bytes");
        }
    }

    private boolean isSelf(Hello hello) {
        return hello.getNode().equals(self.node().value());
    }

    private static Hello parse(ByteString bytes) throws HandshakeException {
        try {
            return Hello.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new HandshakeException(
                    "the Hello of the handshake is malformed (" + e.getMessage() + ")");
        }
    }
}
