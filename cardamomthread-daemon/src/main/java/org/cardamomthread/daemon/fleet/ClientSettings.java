package org.cardamomthread.daemon.fleet;

import org.cardamomthread.daemon.http.ClientLimits;

/**
 * Holds the limits on clients that send without bound. Immutable.
 *
 * @param limits the limits on each connection
 * @param memoryBytes the maximum number of bytes that are held for all clients
 */
record ClientSettings(ClientLimits limits, long memoryBytes) {}
