package org.cardamomthread.configuration.settings;

/**
 * Limits the size and duration of requests and the number of connections of callers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeaderBytes maximum size of the header of a request
 * @param maxBodyBytes maximum size of the body of a request
 * @param bodyTimeoutMs maximum time to read a body, in milliseconds
 * @param idleTimeoutMs maximum idle time of a connection, in milliseconds
 * @param maxConnections maximum number of concurrent connections per listener
 */
public record RequestLimits(
        int maxHeaderBytes,
        int maxBodyBytes,
        long bodyTimeoutMs,
        long idleTimeoutMs,
        int maxConnections) {}
