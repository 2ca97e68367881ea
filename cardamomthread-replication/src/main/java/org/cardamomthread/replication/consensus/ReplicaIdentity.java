package org.cardamomthread.replication.consensus;

import java.util.Objects;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.VoterId;

/**
 * Identifies one replica. Immutable.
 *
 * @param groupId the group that the replica belongs to
 * @param nodeId the node that runs the replica
 * @param voterId the identity of the node's data folder
 */
public record ReplicaIdentity(GroupId groupId, NodeId nodeId, VoterId voterId) {

    /** Requires all components to be non-null. */
    public ReplicaIdentity {
        Objects.requireNonNull(groupId, "groupId must not be null");
        Objects.requireNonNull(nodeId, "nodeId must not be null");
        Objects.requireNonNull(voterId, "voterId must not be null");
    }
}
