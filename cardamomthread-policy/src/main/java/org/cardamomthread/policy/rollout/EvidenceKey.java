package org.cardamomthread.policy.rollout;

import java.util.Objects;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RouteId;

/**
 * Names one growing set of counts of a move.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the node that counts
 * @param route the route of the calls
 * @param role the version's part in the move
 * @param epoch number of the period since the start of the move, from zero
 */
public record EvidenceKey(NodeId node, RouteId route, VersionRole role, int epoch) {

    /** Checks the parts. */
    public EvidenceKey {
        Objects.requireNonNull(node, "node must be given");
        Objects.requireNonNull(route, "route must be given");
        Objects.requireNonNull(role, "role must be given");
        if (epoch < 0) {
            throw new IllegalArgumentException("epoch " + epoch + " must be 0 or more");
        }
    }
}
