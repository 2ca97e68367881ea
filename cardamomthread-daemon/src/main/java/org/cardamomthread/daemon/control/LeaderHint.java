package org.cardamomthread.daemon.control;

import java.util.List;
import org.cardamomthread.core.id.NodeId;

/** Remembers the presumed leader of a group. Thread-safe. */
final class LeaderHint {

    private NodeId leader;
    private int nextVoterIndex;

    /**
     * Returns the voter to contact next.
     *
     * @param voters the voters; must not be empty
     * @return the presumed leader, or the voters in rotation if it is unknown
     */
    synchronized NodeId chooseTarget(List<NodeId> voters) {
        if (leader != null) {
            return leader;
        }
        return voters.get(Math.floorMod(nextVoterIndex, voters.size()));
    }

    synchronized void setLeader(NodeId node) {
        leader = node;
    }

    synchronized void markFailed(NodeId node) {
        if (node.equals(leader)) {
            leader = null;
        }
        nextVoterIndex++;
    }
}
