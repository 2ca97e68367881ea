package org.cardamomthread.daemon.control;

import java.util.List;
import java.util.Objects;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.StateMachine;
import org.cardamomthread.transport.PeerTopic;

/**
 * Describes one replicated group of the system. Immutable.
 *
 * @param id the group
 * @param topic carries its messages between voters
 * @param voters the nodes that keep its log, the same list in the same order on each node
 * @param electionTimeoutMs how long a voter hears nothing before it seeks another leader
 * @param heartbeatMs the interval of a leader's messages
 * @param stateMachine the state on this node, used only if this node is a voter
 * @param queryHandler reads from that state
 */
public record GroupDefinition(
        GroupId id,
        PeerTopic topic,
        List<NodeId> voters,
        long electionTimeoutMs,
        long heartbeatMs,
        StateMachine stateMachine,
        GroupQueryHandler queryHandler) {

    /** The group of the configuration. */
    public static final GroupId CONFIGURATION = new GroupId("configuration");

    /** The group of claims and accepted work. */
    public static final GroupId CLAIMS = new GroupId("claims");

    /** The group of the traffic document and what operators order beside it. */
    public static final GroupId TRAFFIC = new GroupId("traffic");

    /** Several times a pause of a busy process; changes wait for the next leader. */
    private static final long ELECTION_TIMEOUT_MS = 1_000;

    private static final long HEARTBEAT_MS = 150;

    /** Shorter for the traffic group, since requests with a key end with the view lease. */
    private static final long TRAFFIC_ELECTION_TIMEOUT_MS = 600;

    private static final long TRAFFIC_HEARTBEAT_MS = 120;

    private static final PeerTopic TRAFFIC_TOPIC = new PeerTopic(13, "replication-traffic");
    private static final PeerTopic CONFIGURATION_TOPIC =
            new PeerTopic(10, "replication-configuration");
    private static final PeerTopic CLAIMS_TOPIC = new PeerTopic(11, "replication-claims");

    /** Copies the list of voters. */
    public GroupDefinition {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(topic, "topic must not be null");
        Objects.requireNonNull(stateMachine, "stateMachine must not be null");
        Objects.requireNonNull(queryHandler, "queryHandler must not be null");
        voters = List.copyOf(voters);
    }

    /**
     * Describes the group of the configuration.
     *
     * @param voters its voters
     * @param stateMachine its state on this node
     * @param queryHandler reads from that state
     * @return the description
     */
    public static GroupDefinition configuration(
            List<NodeId> voters, StateMachine stateMachine, GroupQueryHandler queryHandler) {
        return new GroupDefinition(
                CONFIGURATION,
                CONFIGURATION_TOPIC,
                voters,
                ELECTION_TIMEOUT_MS,
                HEARTBEAT_MS,
                stateMachine,
                queryHandler);
    }

    /**
     * Describes the group of claims and accepted work.
     *
     * @param voters its voters
     * @param stateMachine its state on this node
     * @param queryHandler reads from that state
     * @return the description
     */
    public static GroupDefinition claims(
            List<NodeId> voters, StateMachine stateMachine, GroupQueryHandler queryHandler) {
        return new GroupDefinition(
                CLAIMS,
                CLAIMS_TOPIC,
                voters,
                ELECTION_TIMEOUT_MS,
                HEARTBEAT_MS,
                stateMachine,
                queryHandler);
    }

    /**
     * Describes the group of the traffic document.
     *
     * @param voters its voters
     * @param stateMachine its state on this node
     * @param queryHandler reads from that state
     * @return the description
     */
    public static GroupDefinition traffic(
            List<NodeId> voters, StateMachine stateMachine, GroupQueryHandler queryHandler) {
        return new GroupDefinition(
                TRAFFIC,
                TRAFFIC_TOPIC,
                voters,
                TRAFFIC_ELECTION_TIMEOUT_MS,
                TRAFFIC_HEARTBEAT_MS,
                stateMachine,
                queryHandler);
    }
}
