package org.cardamomthread.transport;

/**
 * Holds the limits of a transport.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maxFrameBytes longest frame after the handshake; a longer one closes the connection
 * @param queueBytes bound of the payloads queued for one peer
 * @param queueMessages bound of the messages queued for one peer
 * @param pendingRequests bound of the unanswered requests of one connection
 * @param messageMaxAgeMs age at which a queued one-way message is dropped
 * @param pingIntervalMs time between pings on an established connection
 * @param silentAfterMs time without any frame after a ping at which a connection is closed
 * @param handshakeTimeoutMs longest time for connecting and the handshake together
 * @param minBackoffMs delay after the first failure
 * @param maxBackoffMs longest delay between two attempts
 * @param idleCloseMs time without messages after which an outbound connection is closed
 */
public record TransportSettings(
        int maxFrameBytes,
        int queueBytes,
        int queueMessages,
        int pendingRequests,
        long messageMaxAgeMs,
        long pingIntervalMs,
        long silentAfterMs,
        long handshakeTimeoutMs,
        long minBackoffMs,
        long maxBackoffMs,
        long idleCloseMs) {

    /** Space that a frame keeps for its headers, in bytes. */
    static final int FRAME_OVERHEAD_BYTES = 256;

    /** Checks the limits. */
    public TransportSettings {
        requirePositive("queueBytes", queueBytes);
        requirePositive("queueMessages", queueMessages);
        requirePositive("pendingRequests", pendingRequests);
        requirePositive("messageMaxAgeMs", messageMaxAgeMs);
        requirePositive("pingIntervalMs", pingIntervalMs);
        requirePositive("handshakeTimeoutMs", handshakeTimeoutMs);
        requirePositive("minBackoffMs", minBackoffMs);
        requirePositive("idleCloseMs", idleCloseMs);
        requireGreaterThan("maxFrameBytes", maxFrameBytes, 4L * FRAME_OVERHEAD_BYTES);
        requirePositive("silentAfterMs", silentAfterMs);
        requireGreaterThan("maxBackoffMs", maxBackoffMs, minBackoffMs - 1);
    }

    /**
     * Returns the usual limits.
     *
     * @return limits for links within and between data centres
     */
    public static TransportSettings defaults() {
        return new TransportSettings(
                4 << 20, 8 << 20, 4_096, 4_096, 2_000, 1_000, 2_000, 3_000, 50, 2_000, 60_000);
    }

    /**
     * Returns limits for nodes that must be in touch again soon after many were lost together.
     *
     * @return the usual limits with shorter pauses, and a second until a silent link is closed
     */
    public static TransportSettings forFastRecovery() {
        return new TransportSettings(
                4 << 20, 8 << 20, 4_096, 4_096, 1_000, 500, 1_000, 1_500, 50, 400, 60_000);
    }

    /**
     * Returns the longest payload.
     *
     * @return bytes
     */
    public int maxPayloadBytes() {
        return maxFrameBytes - FRAME_OVERHEAD_BYTES;
    }

    private static void requirePositive(String name, long value) {
        requireGreaterThan(name, value, 0);
    }

    private static void requireGreaterThan(String name, long value, long bound) {
        if (value <= bound) {
            throw new IllegalArgumentException(name + " " + value + " must be above " + bound);
        }
    }
}
