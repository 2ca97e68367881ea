package org.cardamomthread.transport;

import io.netty.channel.EventLoop;
import java.security.SecureRandom;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.time.TimeSource;

/**
 * Holds what all links of a transport share.
 *
 * @param self this process
 * @param peerKey the key that all nodes hold
 * @param settings the limits
 * @param timeSource the clock
 * @param random jitter
 * @param listener observes the links
 * @param loop the thread of the transport
 */
record TransportContext(
        PeerIdentity self,
        byte[] peerKey,
        TransportSettings settings,
        TimeSource timeSource,
        RandomGenerator random,
        TransportListener listener,
        EventLoop loop) {

    private static final SecureRandom NONCES = new SecureRandom();

    long nowMs() {
        return timeSource.monotonicMs();
    }

    byte[] newNonce() {
        byte[] nonce = new byte[HandshakeProof.NONCE_BYTES];
        NONCES.nextBytes(nonce);
        return nonce;
    }
}
