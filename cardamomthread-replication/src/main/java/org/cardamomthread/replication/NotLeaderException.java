package org.cardamomthread.replication;

import java.util.Optional;
import org.cardamomthread.core.id.NodeId;

/** Indicates that this replica is not the leader; the command was not appended. */
public final class NotLeaderException extends ReplicationException {

    private static final long serialVersionUID = 1L;

    private final NodeId leader;

    /**
     * Creates the exception.
     *
     * @param groupId the group that the replica belongs to
     * @param leader the node of the current leader, or null if it is not known
     */
    public NotLeaderException(GroupId groupId, NodeId leader) {
        super(
                leader == null
                        ? "group \"" + groupId + "\" has no known leader; retry after an election"
                        : "group \""
                                + groupId
                                + "\" is led by another node; send the request to node \""
                                + leader
                                + "\"");
        this.leader = leader;
    }

    /**
     * Returns the node to which the request can be sent instead.
     *
     * @return the node of the current leader, or empty if it is not known
     */
    public Optional<NodeId> leader() {
        return Optional.ofNullable(leader);
    }

    @Override
    public boolean isGuaranteedNotAppended() {
        return true;
    }
}
