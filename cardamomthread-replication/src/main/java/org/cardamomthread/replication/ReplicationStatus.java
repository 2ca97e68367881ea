package org.cardamomthread.replication;

import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;

/**
 * Shows the state of one replica at one moment. Immutable.
 *
 * @param groupId the group
 * @param nodeId the node of this replica
 * @param voterId the identity of its data folder
 * @param role its role
 * @param term the current term, which also serves as a fencing number
 * @param leader the leader's node as far as known
 * @param leaseRemainingMs how long this replica may act as the only leader, 0 if it may not
 * @param commitIndex the highest index known to be committed
 * @param appliedIndex the highest applied index
 * @param lastIndex the highest index in the log
 * @param snapshotIndex the index of the last snapshot, 0 without one
 * @param members the members as last written to the log
 * @param failure why the replica stopped, empty while it runs
 */
public record ReplicationStatus(
        GroupId groupId,
        NodeId nodeId,
        VoterId voterId,
        ReplicaRole role,
        long term,
        Optional<NodeId> leader,
        long leaseRemainingMs,
        long commitIndex,
        long appliedIndex,
        long lastIndex,
        long snapshotIndex,
        List<ReplicaMember> members,
        Optional<String> failure) {

    /** Copies the members. */
    public ReplicationStatus {
        members = List.copyOf(members);
    }

    /**
     * Tells whether this replica is the leader and holds the lease.
     *
     * @return true if no other replica can have been leader at the moment of the status
     */
    public boolean isLeaseHeld() {
        return leaseRemainingMs > 0;
    }
}
