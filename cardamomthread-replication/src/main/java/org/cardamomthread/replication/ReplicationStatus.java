package org.cardamomthread.replication;

import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;

/**
 * Holds the status of one replica at one point in time. Immutable.
 *
 * @param groupId the group that the replica belongs to
 * @param nodeId the node that runs the replica
 * @param voterId the identity of its data folder
 * @param role the role of the replica
 * @param term the current term, which also serves as the leader's fencing number
 * @param leader the node of the current leader, empty if it is not known
 * @param leaseRemainingMs the remaining lease, during which no other replica can be leader; 0
 *     without a lease
 * @param commitIndex the highest index known to be committed
 * @param appliedIndex the index of the last entry applied to the state machine
 * @param lastIndex the index of the last entry in the log
 * @param snapshotIndex the index of the last entry in the latest snapshot, 0 without a snapshot
 * @param members the latest membership in the log, which may not be committed yet
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

    /** Copies the members to keep the status immutable. */
    public ReplicationStatus {
        members = List.copyOf(members);
    }

    /**
     * Returns whether this replica is the leader and holds the lease.
     *
     * @return true if no other replica can have been leader when the status was taken
     */
    public boolean isLeaseHeld() {
        return leaseRemainingMs > 0;
    }
}
