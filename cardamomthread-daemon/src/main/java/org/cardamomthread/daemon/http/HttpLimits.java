package org.cardamomthread.daemon.http;

/**
 * Bounds what one listener accepts.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maxHeaderBytes longest request line and longest header block, in bytes
 * @param maxBodyBytes longest request body, in bytes
 * @param bodyTimeoutMs longest time from the first byte of a request to its last, in milliseconds
 * @param idleTimeoutMs longest time that a connection may stay open without a request, in
 *     milliseconds
 * @param maxConnections most connections open at once
 */
public record HttpLimits(
        int maxHeaderBytes,
        int maxBodyBytes,
        long bodyTimeoutMs,
        long idleTimeoutMs,
        int maxConnections) {

    private static final int DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
    private static final int DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024;
    private static final long DEFAULT_BODY_TIMEOUT_MS = 30_000;
    private static final long DEFAULT_IDLE_TIMEOUT_MS = 120_000;
    private static final int DEFAULT_MAX_CONNECTIONS = 10_000;

    /** Checks that each bound is positive. */
    public HttpLimits {
        requirePositive("maxHeaderBytes", maxHeaderBytes);
        requirePositive("maxBodyBytes", maxBodyBytes);
        requirePositive("bodyTimeoutMs", bodyTimeoutMs);
        requirePositive("idleTimeoutMs", idleTimeoutMs);
        requirePositive("maxConnections", maxConnections);
    }

    /**
     * Returns the bounds that hold where the settings name none.
     *
     * @return the default bounds
     */
    public static HttpLimits createDefault() {
        return new HttpLimits(
                DEFAULT_MAX_HEADER_BYTES,
                DEFAULT_MAX_BODY_BYTES,
                DEFAULT_BODY_TIMEOUT_MS,
                DEFAULT_IDLE_TIMEOUT_MS,
                DEFAULT_MAX_CONNECTIONS);
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " " + value + " must be positive");
        }
    }
}
