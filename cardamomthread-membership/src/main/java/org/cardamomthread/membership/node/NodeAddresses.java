package org.cardamomthread.membership.node;

import java.util.Objects;

/**
 * Holds the host:port addresses of a node's listeners; an empty string means that the node has no
 * such listener.
 *
 * <p>Immutable and thread-safe.
 *
 * @param callers the address of the listener for client requests
 * @param endpoints the address of the listener for endpoint announcements
 * @param operators the address of the listener for operators
 * @param peers the address of the listener for other nodes
 */
public record NodeAddresses(String callers, String endpoints, String operators, String peers) {

    /** Rejects null addresses. */
    public NodeAddresses {
        Objects.requireNonNull(callers, "callers must not be null");
        Objects.requireNonNull(endpoints, "endpoints must not be null");
        Objects.requireNonNull(operators, "operators must not be null");
        Objects.requireNonNull(peers, "peers must not be null");
    }
}
