package org.cardamomthread.daemon.control;

import java.util.List;
import org.cardamomthread.core.id.NodeId;

/** Remembers which node probably leads a group. Safe for use by several threads. */
final class LeaderHint {

    private NodeId leader;
    private int nextVoterIndex;

    /**
     * Chooses whom to ask.
     *
     * @param voters the voters, not empty
     * @return the probable leader, or the voters in turn
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
