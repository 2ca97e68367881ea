package org.cardamomthread.daemon.quarantine;

import java.util.Objects;
import org.cardamomthread.core.id.NodeId;

/**
 * Identifies another live node. Immutable.
 *
 * @param node the node
 * @param incarnation changes with each start of the node
 */
public record Peer(NodeId node, long incarnation) {

    /** Checks that the node is not null. */
    public Peer {
        Objects.requireNonNull(node, "node must not be null");
    }
}
