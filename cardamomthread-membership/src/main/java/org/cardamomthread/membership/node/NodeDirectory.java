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
 * Knows the nodes of the system, their liveness and the drain records of data centres.
 *
 * <p>A directory sends nothing itself: {@link #tick()} and {@link #receive} return the messages to
 * send. Messages may be lost, repeated and reordered.
 */
public interface NodeDirectory {

    /**
     * Advances the gossip; to be called at least once a heartbeat interval.
     *
     * @return messages to send
     */
    List<OutgoingMessage> tick();

    /**
     * Takes a message of another node.
     *
     * @param from the sender
     * @param message a message that {@link #handles}
     * @return messages to send in answer
     */
    List<OutgoingMessage> receive(NodeId from, PeerMessage message);

    /**
     * Tells whether a message is for the directory.
     *
     * @param message any message
     * @return true if {@link #receive} takes it
     */
    static boolean handles(PeerMessage message) {
        return switch (message.getContentCase()) {
            case GOSSIP, NODE_ENTRY_REQUEST, NODE_ENTRIES, DRAIN_RECORDS -> true;
            default -> false;
        };
    }

    /**
     * Begins a graceful leave; others stop counting on this node once told.
     *
     * @return messages to send
     */
    List<OutgoingMessage> leave();

    /**
     * States the configuration revision that is in force on this node.
     *
     * @param revision the revision; never decreases
     */
    void setRevisionInForce(long revision);

    /**
     * Returns the highest revision that any node was heard to have in force.
     *
     * @return the revision, zero if none
     */
    long highestRevision();

    /**
     * States what this node tells others of the replicated log.
     *
     * @param voter whether this node votes
     * @param leaderHint the leader it last heard of
     */
    void setReplicationHints(boolean voter, Optional<NodeId> leaderHint);

    /**
     * Returns this node's own entry.
     *
     * @return the entry
     */
    NodeEntry self();

    /**
     * Returns all other nodes, in no order.
     *
     * @return a snapshot
     */
    Collection<NodeView> others();

    /**
     * Finds another node.
     *
     * @param id the node
     * @return its view, or empty if it is unknown
     */
    Optional<NodeView> find(NodeId id);

    /**
     * Returns the nodes of a data centre that count on, this one included: alive or suspect, and
     * not leaving.
     *
     * @param dataCentre the data centre
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
     * Takes a data centre out of service or back, at this node; the gossip spreads the record.
     *
     * @param dataCentre the data centre
     * @param out true to take it out
     * @return the record that now holds; the present one if it already says so
     */
    DrainRecord setDrain(DataCentreId dataCentre, boolean out);

    /**
     * Joins a record that came another way, such as the replicated log.
     *
     * @param record the record
     */
    void joinDrain(DrainRecord record);

    /**
     * Returns all drain records.
     *
     * @return a snapshot
     */
    List<DrainRecord> drainRecords();

    /**
     * Tells whether a data centre is out of service as far as this node knows.
     *
     * @param dataCentre the data centre
     * @return true if its record says out
     */
    boolean isDrained(DataCentreId dataCentre);

    /**
     * Returns the nodes known to hold the present record of a data centre.
     *
     * @param dataCentre the data centre
     * @return their ids; this node is always one of them if there is a record
     */
    Set<NodeId> drainConfirmedBy(DataCentreId dataCentre);

    /**
     * Returns the known nodes, dead ones included and those that left excepted, that are not known
     * to hold the present record of a data centre.
     *
     * @param dataCentre the data centre
     * @return their ids; empty if there is no record
     */
    Set<NodeId> drainUnconfirmedBy(DataCentreId dataCentre);
}
