package org.cardamomthread.membership.node;

import java.util.Objects;
import java.util.Optional;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;

/**
 * Describes a node as the node itself publishes it. Entries of a node are ordered by incarnation
 * and then by entry sequence.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the node
 * @param incarnation the run of the node process, which increases with each start; zero for a node
 *     known only from the settings
 * @param entrySequence the change number of the entry within an incarnation
 * @param dataCentre the data centre where the node runs
 * @param addresses the addresses of its listeners
 * @param voter whether it is a voter in a replication group
 * @param leaderHint the last leader known to it, or empty if none
 * @param leaving whether it has started to leave the cluster
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

    /** Rejects null components and negative numbers. */
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
     * Creates the entry of a node that is known only from the settings.
     *
     * @param id the id of the node
     * @param dataCentre the data centre where the node runs
     * @param addresses the addresses of its listeners
     * @return an entry that is older than any entry published by the node itself
     */
    public static NodeEntry seed(NodeId id, DataCentreId dataCentre, NodeAddresses addresses) {
        return new NodeEntry(id, 0, 0, dataCentre, addresses, false, Optional.empty(), false);
    }

    /**
     * Returns whether this entry supersedes another one of the same node.
     *
     * @param other an entry of the same node
     * @return true if this entry is newer
     */
    public boolean isNewerThan(NodeEntry other) {
        return incarnation > other.incarnation
                || incarnation == other.incarnation && entrySequence > other.entrySequence;
    }

    NodeEntry withReplicationHints(boolean newVoter, Optional<NodeId> newLeaderHint) {
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
