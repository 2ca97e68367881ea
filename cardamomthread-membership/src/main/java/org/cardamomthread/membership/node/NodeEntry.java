package org.cardamomthread.membership.node;

import java.util.Objects;
import java.util.Optional;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;

/**
 * Describes a node in its own words. Of two entries of the same node the one with the higher
 * incarnation, then the higher entry sequence, is newer.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the node
 * @param incarnation rises with each start; zero for a node known only from settings
 * @param entrySequence rises with each change of the entry within an incarnation
 * @param dataCentre where the node is
 * @param addresses its listeners
 * @param voter whether it votes in a replicated log
 * @param leaderHint the leader it last heard of
 * @param leaving whether it has begun a graceful leave
 */
public record NodeEntry(
        NodeId id,
        long incarnation,
        int entrySequence,
        DataCentreId dataCentre,
        NodeAddresses addresses,
        boolean voter,
        Optional<NodeId> leaderHint,
        boolean leaving) {

    /** Checks that no part is null and no number negative. */
    public NodeEntry {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
        Objects.requireNonNull(addresses, "addresses must not be null");
        Objects.requireNonNull(leaderHint, "leaderHint must not be null");
        if (incarnation < 0 || entrySequence < 0) {
            throw new IllegalArgumentException(
                    "incarnation "
                            + incarnation
                            + " and entrySequence "
                            + entrySequence
                            + " of node "
                            + id
                            + " must not be negative");
        }
    }

    /**
     * Creates the entry of a node that is known only from settings.
     *
     * @param id the node
     * @param dataCentre where it is
     * @param addresses its listeners
     * @return an entry that any announcement of the node itself replaces
     */
    public static NodeEntry seed(NodeId id, DataCentreId dataCentre, NodeAddresses addresses) {
        return new NodeEntry(id, 0, 0, dataCentre, addresses, false, Optional.empty(), false);
    }

    /**
     * Tells whether this entry replaces another of the same node.
     *
     * @param other the other entry
     * @return true if this one is newer
     */
    public boolean isNewerThan(NodeEntry other) {
        return incarnation > other.incarnation
                || incarnation == other.incarnation && entrySequence > other.entrySequence;
    }

    NodeEntry withHints(boolean newVoter, Optional<NodeId> newLeaderHint) {
        return new NodeEntry(
                id,
                incarnation,
                entrySequence + 1,
                dataCentre,
                addresses,
                newVoter,
                newLeaderHint,
                leaving);
    }

    NodeEntry withLeaving() {
        return new NodeEntry(
                id, incarnation, entrySequence + 1, dataCentre, addresses, voter, leaderHint, true);
    }
}
