package org.cardamomthread.transport;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.ByteString;
import java.security.MessageDigest;

/**
 * Derives the proofs and the frame keys of one handshake from the peer key and everything that both
 * sides said.
 *
 * <p>Each value has its own label, so that none can stand for another: a proof of the acceptor is
 * no proof of the initiator, and a frame cannot be sent back to its sender. Not safe for use by
 * several threads.
 */
final class HandshakeProof {

    /** Version of the protocol; both sides must have the same. */
    static final int PROTOCOL_VERSION = 1;

    /** Length of the random number that each side contributes. */
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
