package org.cardamomthread.configuration.settings;

/**
 * Bounds what a caller may use.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maxHeaderBytes largest header of a request
 * @param maxBodyBytes largest body of a request
 * @param bodyTimeoutMs longest time to read a body
 * @param idleTimeoutMs longest idle time of a connection
 * @param maxConnections most connections open at once on one listener
 */
public record RequestLimits(
        int maxHeaderBytes,
        int maxBodyBytes,
        long bodyTimeoutMs,
        long idleTimeoutMs,
        int maxConnections) {}
