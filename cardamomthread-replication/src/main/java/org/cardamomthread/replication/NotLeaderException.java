package org.cardamomthread.replication;

import java.util.Optional;
import org.cardamomthread.core.id.NodeId;

/** Reports that this replica is not the leader; the command was not appended. */
public final class NotLeaderException extends ReplicationException {

    private static final long serialVersionUID = 1L;

    private final NodeId leader;

    /**
     * Creates the exception.
     *
     * @param groupId the group
     * @param leader the leader as far as known, or null
     */
    public NotLeaderException(GroupId groupId, NodeId leader) {
        super(
                leader == null
                        ? "group \"" + groupId + "\" has no known leader; retry after an election"
                        : "group \"" + groupId + "\" is led by node \"" + leader + "\"; ask there");
        this.leader = leader;
    }

    /**
     * Returns where to ask instead.
     *
     * @return the leader's node as far as known
     */
    public Optional<NodeId> leader() {
        return Optional.ofNullable(leader);
    }

    @Override
    public boolean isNotAppended() {
        return true;
    }
}
