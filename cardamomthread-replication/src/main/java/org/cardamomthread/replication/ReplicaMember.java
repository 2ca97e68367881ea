package org.cardamomthread.replication;

import java.util.Objects;
import org.cardamomthread.core.id.NodeId;

/**
 * Describes one member of a group. Immutable.
 *
 * @param voterId the identity of the member's data folder
 * @param nodeId the node that holds the folder
 * @param isVoter false for a learner
 */
public record ReplicaMember(VoterId voterId, NodeId nodeId, boolean isVoter) {

    /** Checks that nothing is missing. */
    public ReplicaMember {
        Objects.requireNonNull(voterId, "voterId must not be null");
        Objects.requireNonNull(nodeId, "nodeId must not be null");
    }
}
