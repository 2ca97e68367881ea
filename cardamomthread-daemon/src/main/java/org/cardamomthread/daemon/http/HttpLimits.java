package org.cardamomthread.daemon.http;

/**
 * Defines the limits on connections and requests of one listener.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeaderBytes maximum length of the request line and of the header block, in bytes
 * @param maxBodyBytes maximum length of a request body, in bytes
 * @param bodyTimeoutMs maximum time from the head of a request to its last byte, in milliseconds
 * @param idleTimeoutMs maximum time that a connection may be open without a request, in
 *     milliseconds
 * @param maxConnections maximum number of open connections
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

    /** Checks that each limit is positive. */
    public HttpLimits {
        requirePositive("maxHeaderBytes", maxHeaderBytes);
        requirePositive("maxBodyBytes", maxBodyBytes);
        requirePositive("bodyTimeoutMs", bodyTimeoutMs);
        requirePositive("idleTimeoutMs", idleTimeoutMs);
        requirePositive("maxConnections", maxConnections);
    }

    /**
     * Returns the limits that apply unless the settings define others.
     *
     * @return the default limits
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
