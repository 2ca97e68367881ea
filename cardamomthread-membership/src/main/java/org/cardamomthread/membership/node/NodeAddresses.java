package org.cardamomthread.membership.node;

import java.util.Objects;

/**
 * Holds the host:port addresses of a node's listeners; an empty text means no such listener.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param callers listener for callers
 * @param endpoints listener for announcements
 * @param operators listener for operators
 * @param peers listener for other nodes
 */
public record NodeAddresses(String callers, String endpoints, String operators, String peers) {

    /** Checks that no part is null. */
    public NodeAddresses {
        Objects.requireNonNull(callers, "callers must not be null");
        Objects.requireNonNull(endpoints, "endpoints must not be null");
        Objects.requireNonNull(operators, "operators must not be null");
        Objects.requireNonNull(peers, "peers must not be null");
    }
}
