package org.cardamomthread.policy.rollout;

import java.util.Objects;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RouteId;

/**
 * Identifies one set of cumulative call counts of a rollout.
 *
 * <p>Immutable and thread-safe.
 *
 * @param node node that counts the calls
 * @param route route of the calls
 * @param role role of the called version
 * @param epoch index of the counting period since the start of the rollout, from zero
 */
public record EvidenceKey(NodeId node, RouteId route, VersionRole role, int epoch) {

    /** Validates the components. */
    public EvidenceKey {
        Objects.requireNonNull(node, "node must not be null");
        Objects.requireNonNull(route, "route must not be null");
        Objects.requireNonNull(role, "role must not be null");
        if (epoch < 0) {
            throw new IllegalArgumentException("epoch " + epoch + " must be 0 or more");
        }
    }
}
