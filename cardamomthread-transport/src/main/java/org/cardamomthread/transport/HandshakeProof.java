package org.cardamomthread.transport;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.ByteString;
import java.security.MessageDigest;

/**
 * Derives the proofs and the frame keys of one handshake from the peer key and the parameters of
 * both sides.
 *
 * <p>Each value is derived with its own label, so that none can be used in place of another: the
 * acceptor's proof is not valid as the initiator's, and a frame cannot be reflected to its sender.
 * Not thread-safe.
 */
final class HandshakeProof {

    /** Version of the peer protocol, which must be the same on both sides. */
    static final int PROTOCOL_VERSION = 1;

    /** Length of the nonce that each side contributes, in bytes. */
    static final int NONCE_BYTES = 32;

    private final HmacSha256 hmac;
    private final byte[] hello;
    private final byte[] parameters;

    HandshakeProof(byte[] peerKey, ByteString hello, ByteString parameters) {
        hmac = new HmacSha256(peerKey);
        this.hello = hello.toByteArray();
        this.parameters = parameters.toByteArray();
    }

    ByteString acceptorProof() {
        return ByteString.copyFrom(derive("acceptor proof"));
    }

    ByteString initiatorProof() {
        return ByteString.copyFrom(derive("initiator proof"));
    }

    byte[] initiatorFrameKey() {
        return derive("frames from the initiator");
    }

    byte[] acceptorFrameKey() {
        return derive("frames from the acceptor");
    }

    static boolean constantTimeEquals(ByteString expected, ByteString received) {
        return MessageDigest.isEqual(expected.toByteArray(), received.toByteArray());
    }

    private byte[] derive(String label) {
        return hmac.compute(label.getBytes(UTF_8), hello, parameters);
    }
}
