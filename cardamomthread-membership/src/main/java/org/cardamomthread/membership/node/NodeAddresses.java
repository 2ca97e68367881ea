package org.cardamomthread.membership.node;

import java.util.Objects;

/**
 * Holds the host:port addresses of a node's listeners; an empty string means that the node has no
 * such listener.
 *
 * <p>Immutable and thread-safe.
 *
 * @param callerAddress the address of the listener for client requests
 * @param endpointAddress the address of the listener for endpoint announcements
 * @param operatorAddress the address of the listener for operators
 * @param peerAddress the address of the listener for other nodes
 */
public record NodeAddresses(
        String callerAddress, String endpointAddress, String operatorAddress, String peerAddress) {

    /** Rejects null addresses. */
    public NodeAddresses {
        Objects.requireNonNull(callerAddress, "callers must not be null");
        Objects.requireNonNull(endpointAddress, "endpoints must not be null");
        Objects.requireNonNull(operatorAddress, "operators must not be null");
        Objects.requireNonNull(peerAddress, "peers must not be null");
    }
}
