package org.cardamomthread.membership.node;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.OutgoingMessage;
import org.cardamomthread.membership.generated.PeerMessage;

/**
 * Tracks the nodes of the cluster, their liveness and the drain records of data centres.
 *
 * <p>A directory performs no I/O: {@link #tick()}, {@link #receive} and {@link #leave()} return the
 * messages that the caller must send. Messages may be lost, duplicated and reordered.
 */
public interface NodeDirectory {

    /**
     * Runs the gossip rounds that are due. Must be called at least once per heartbeat interval.
     *
     * @return the messages to send
     */
    List<OutgoingMessage> tick();

    /**
     * Processes a message from another node.
     *
     * @param from the id of the sending node
     * @param message a message for which {@link #handles} returns true
     * @return the messages to send in response
     * @throws IllegalArgumentException if the directory does not handle this kind of message
     */
    List<OutgoingMessage> receive(NodeId from, PeerMessage message);

    /**
     * Returns whether the directory handles a message.
     *
     * @param message a message of any kind
     * @return true if {@link #receive} accepts it
     */
    static boolean handles(PeerMessage message) {
        return switch (message.getContentCase()) {
            case GOSSIP, NODE_ENTRY_REQUEST, NODE_ENTRIES, DRAIN_RECORDS -> true;
            default -> false;
        };
    }

    /**
     * Marks this node as leaving. Other nodes no longer treat it as usable once they receive the
     * returned messages.
     *
     * @return the messages to send
     */
    List<OutgoingMessage> leave();

    /**
     * Sets the active configuration revision of this node, which gossip reports to other nodes.
     *
     * @param revision the revision, which must not be below the previous one
     * @throws IllegalArgumentException if the revision decreases
     */
    void setActiveRevision(long revision);

    /**
     * Returns the highest configuration revision that is known to be active on any node.
     *
     * @return the revision, or zero if none is known
     */
    long highestRevision();

    /**
     * Sets the replication details that this node publishes in its entry.
     *
     * @param voter whether this node is a voter in a replication group
     * @param leaderHint the last known leader, or empty if none is known
     */
    void setReplicationHints(boolean voter, Optional<NodeId> leaderHint);

    /**
     * Returns the entry that this node publishes.
     *
     * @return the current entry of this node
     */
    NodeEntry self();

    /**
     * Returns all known nodes except this one, in no particular order.
     *
     * @return a snapshot
     */
    Collection<NodeView> otherNodes();

    /**
     * Returns what is known of another node.
     *
     * @param id the id of the node
     * @return a snapshot, or empty if the node is unknown or is this node
     */
    Optional<NodeView> find(NodeId id);

    /**
     * Returns the nodes of a data centre that may be given work: those that are alive or suspect
     * and not leaving. Includes this node if it is in that data centre.
     *
     * @param dataCentre the id of the data centre
     * @return their ids in ascending order
     */
    List<NodeId> usableNodes(DataCentreId dataCentre);

    /**
     * Returns the data centres of all known nodes.
     *
     * @return a snapshot in ascending order
     */
    List<DataCentreId> dataCentres();

    /**
     * Drains a data centre or returns it to service. The change applies on this node at once and
     * reaches the other nodes by gossip.
     *
     * @param dataCentre the id of the data centre
     * @param out true to drain it, false to return it to service
     * @return the record that now applies, which is the existing one if nothing changed
     */
    DrainRecord setDrained(DataCentreId dataCentre, boolean out);

    /**
     * Merges a record that was not received by gossip, such as one from the replicated log.
     *
     * @param record the record to merge
     */
    void mergeDrainRecord(DrainRecord record);

    /**
     * Returns the drain records known to this node.
     *
     * @return a snapshot with at most one record per data centre, ordered by data centre
     */
    List<DrainRecord> drainRecords();

    /**
     * Returns whether a data centre is drained according to the records of this node.
     *
     * @param dataCentre the id of the data centre
     * @return true if it is drained, false if it is in service or has no record
     */
    boolean isDrained(DataCentreId dataCentre);

    /**
     * Returns the nodes that confirmed the current drain record of a data centre.
     *
     * @param dataCentre the id of the data centre
     * @return their ids, always including this node if there is a record
     */
    Set<NodeId> drainConfirmedBy(DataCentreId dataCentre);

    /**
     * Returns the known nodes that have not confirmed the current drain record of a data centre.
     * Dead nodes are included, nodes that left are not.
     *
     * @param dataCentre the id of the data centre
     * @return their ids, empty if there is no record
     */
    Set<NodeId> drainUnconfirmedBy(DataCentreId dataCentre);
}
