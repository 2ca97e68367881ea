package org.cardamomthread.daemon.control;

import java.util.List;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.GroupId;

/** Tracks the nodes that vote in the replication groups. Implementations must be thread-safe. */
public interface VoterDirectory {

    /**
     * Returns the nodes that presumably vote in a group.
     *
     * @param group the group
     * @return the nodes, empty if none is known
     */
    List<NodeId> voters(GroupId group);

    /**
     * Records that a node sent a message of a group, so that it can be sent messages as well.
     *
     * @param node the sending node
     */
    void recordContact(NodeId node);
}
