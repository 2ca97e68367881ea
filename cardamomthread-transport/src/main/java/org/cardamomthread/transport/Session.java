package org.cardamomthread.transport;

/**
 * Holds what a completed handshake established.
 *
 * @param peer the authenticated peer
 * @param sealer seals the frames sent
 * @param opener opens the frames received
 */
record Session(PeerIdentity peer, FrameSealer sealer, FrameOpener opener) {}
