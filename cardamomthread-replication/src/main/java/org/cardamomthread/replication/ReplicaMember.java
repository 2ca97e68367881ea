package org.cardamomthread.replication;

import java.util.Objects;
import org.cardamomthread.core.id.NodeId;

/**
 * Describes a voter or learner of a replication group. Immutable.
 *
 * @param voterId the identity of the member's data folder
 * @param nodeId the node that holds the folder
 * @param isVoter true for a voter, false for a learner
 */
public record ReplicaMember(VoterId voterId, NodeId nodeId, boolean isVoter) {

    /** Requires the identifiers to be non-null. */
    public ReplicaMember {
        Objects.requireNonNull(voterId, "voterId must not be null");
        Objects.requireNonNull(nodeId, "nodeId must not be null");
    }
}
