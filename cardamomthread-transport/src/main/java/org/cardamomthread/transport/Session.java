package org.cardamomthread.transport;

/**
 * Result of a completed handshake.
 *
 * @param peer identity of the authenticated peer
 * @param sealer seals outgoing frames
 * @param opener verifies incoming frames
 */
record Session(PeerIdentity peer, FrameSealer sealer, FrameOpener opener) {}
