package org.cardamomthread.daemon.http;

/**
 * Holds what protects a process from clients without bounds, shared by its listeners. Immutable;
 * its parts are thread-safe.
 *
 * @param limits the limits on single connections
 * @param memory the bytes held for all connections
 * @param listener is told of clients that reach a limit
 */
public record ClientGuard(ClientLimits limits, ClientMemory memory, ClientLimitListener listener) {

    /**
     * Creates a guard with the default limits that reports to nobody.
     *
     * @return the guard
     */
    public static ClientGuard createDefault() {
        return new ClientGuard(
                ClientLimits.DEFAULT, ClientMemory.createDefault(), ClientLimitListener.NONE);
    }
}
