package org.cardamomthread.transport;

import io.netty.channel.EventLoop;
import java.security.SecureRandom;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.time.TimeSource;

/**
 * State shared by all connections of a transport.
 *
 * @param self identity of this process
 * @param peerKey key shared by all nodes
 * @param settings limits and timeouts
 * @param timeSource clock for all timeouts
 * @param random source of the backoff jitter
 * @param listener receives transport events for metrics
 * @param loop event loop that runs all connections, timeouts and handlers
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
