package org.cardamomthread.transport;

/**
 * Limits and timeouts of a transport.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxFrameBytes maximum size of a frame after the handshake; a larger one closes the
 *     connection
 * @param maxQueuedBytes maximum total size of the payloads queued for one peer
 * @param maxQueuedMessages maximum number of messages queued for one peer
 * @param maxPendingRequests maximum number of unanswered requests of one connection
 * @param messageMaxAgeMs age at which a queued one-way message is dropped
 * @param pingIntervalMs time between pings on an established connection
 * @param pingTimeoutMs time without any frame after a ping until the connection is closed
 * @param handshakeTimeoutMs timeout for connecting, and for connecting and the handshake together
 * @param minBackoffMs maximum delay after the first failure, before jitter is subtracted
 * @param maxBackoffMs maximum delay between two connection attempts
 * @param idleTimeoutMs time without messages until an outbound connection is closed
 */
public record TransportSettings(
        int maxFrameBytes,
        int maxQueuedBytes,
        int maxQueuedMessages,
        int maxPendingRequests,
        long messageMaxAgeMs,
        long pingIntervalMs,
        long pingTimeoutMs,
        long handshakeTimeoutMs,
        long minBackoffMs,
        long maxBackoffMs,
        long idleTimeoutMs) {

    /** Space reserved in a frame for its headers, in bytes. */
    static final int FRAME_OVERHEAD_BYTES = 256;

    /** Validates the limits. */
    public TransportSettings {
        requirePositive("maxQueuedBytes", maxQueuedBytes);
        requirePositive("maxQueuedMessages", maxQueuedMessages);
        requirePositive("maxPendingRequests", maxPendingRequests);
        requirePositive("messageMaxAgeMs", messageMaxAgeMs);
        requirePositive("pingIntervalMs", pingIntervalMs);
        requirePositive("handshakeTimeoutMs", handshakeTimeoutMs);
        requirePositive("minBackoffMs", minBackoffMs);
        requirePositive("idleTimeoutMs", idleTimeoutMs);
        requireGreaterThan("maxFrameBytes", maxFrameBytes, 4L * FRAME_OVERHEAD_BYTES);
        requirePositive("pingTimeoutMs", pingTimeoutMs);
        requireGreaterThan("maxBackoffMs", maxBackoffMs, minBackoffMs - 1);
    }

    /**
     * Returns the default settings.
     *
     * @return settings for connections within and between data centres
     */
    public static TransportSettings defaults() {
        return new TransportSettings(
                4 << 20, 8 << 20, 4_096, 4_096, 2_000, 1_000, 2_000, 3_000, 50, 2_000, 60_000);
    }

    /**
     * Returns settings for nodes that must reconnect quickly after many nodes failed together.
     *
     * @return the default settings with shorter delays and a ping timeout of one second
     */
    public static TransportSettings forFastRecovery() {
        return new TransportSettings(
                4 << 20, 8 << 20, 4_096, 4_096, 1_000, 500, 1_000, 1_500, 50, 400, 60_000);
    }

    /**
     * Returns the maximum size of a payload.
     *
     * @return size in bytes
     */
    public int maxPayloadBytes() {
        return maxFrameBytes - FRAME_OVERHEAD_BYTES;
    }

    private static void requirePositive(String name, long value) {
        requireGreaterThan(name, value, 0);
    }

    private static void requireGreaterThan(String name, long value, long lowerBound) {
        if (value <= lowerBound) {
            throw new IllegalArgumentException(
                    name + " " + value + " must be greater than " + lowerBound);
        }
    }
}
