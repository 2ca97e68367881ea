package org.cardamomthread.daemon.control;

import java.util.List;
import org.cardamomthread.core.id.NodeId;

/** Remembers which node probably leads a group. Safe for use by several threads. */
final class LeaderGuess {

    private NodeId leader;
    private int nextVoter;

    /**
     * Chooses whom to ask.
     *
     * @param voters the voters, not empty
     * @return the probable leader, or the voters in turn
     */
    synchronized NodeId next(List<NodeId> voters) {
        if (leader != null) {
            return leader;
        }
        return voters.get(Math.floorMod(nextVoter, voters.size()));
    }

    synchronized void confirm(NodeId node) {
        leader = node;
    }

    synchronized void reject(NodeId node) {
        if (node.equals(leader)) {
            leader = null;
        }
        nextVoter++;
    }
}
