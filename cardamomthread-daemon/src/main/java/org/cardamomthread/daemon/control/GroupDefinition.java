package org.cardamomthread.daemon.control;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.StateMachine;
import org.cardamomthread.replication.VoterReplacement;
import org.cardamomthread.transport.PeerTopic;

/**
 * Describes one replication group of the system. Immutable.
 *
 * @param id the group
 * @param topic the topic of the messages between its voters
 * @param voters the nodes that store its log; must be the same list in the same order on every node
 * @param electionTimeoutMs milliseconds without a message from the leader before a voter starts an
 *     election
 * @param heartbeatMs milliseconds between two heartbeats of the leader
 * @param stateMachine the state machine on this node, used only if this node is a voter
 * @param queryHandler answers queries from that state machine
 * @param voterReplacement when other nodes become voters, or empty if only {@code voters} may vote
 */
public record GroupDefinition(
        GroupId id,
        PeerTopic topic,
        List<NodeId> voters,
        long electionTimeoutMs,
        long heartbeatMs,
        StateMachine stateMachine,
        GroupQueryHandler queryHandler,
        Optional<VoterReplacement> voterReplacement) {

    /** The group that replicates the configuration. */
    public static final GroupId CONFIGURATION = new GroupId("configuration");

    /** The group that replicates claims and accepted jobs. */
    public static final GroupId CLAIMS = new GroupId("claims");

    /** The group that replicates the traffic document and the requests of operators. */
    public static final GroupId TRAFFIC = new GroupId("traffic");

    /** Several times the pause of a busy process. Changes wait until a new leader is elected. */
    private static final long ELECTION_TIMEOUT_MS = 1_000;

    private static final long HEARTBEAT_MS = 150;

    /**
     * Shorter than for the other groups, since requests with a key fail once the view lease
     * expires.
     */
    private static final long TRAFFIC_ELECTION_TIMEOUT_MS = 600;

    private static final long TRAFFIC_HEARTBEAT_MS = 120;

    /** Longer than an election, and short enough that a successor votes soon after its start. */
    private static final long TRAFFIC_VOTER_ABSENCE_MS = 2_000;

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
     * Returns the definition of the configuration group.
     *
     * @param voters its voters
     * @param stateMachine its state machine on this node
     * @param queryHandler answers queries from that state machine
     * @return the definition
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
                queryHandler,
                Optional.empty());
    }

    /**
     * Returns the definition of the group of claims and accepted jobs.
     *
     * @param voters its voters
     * @param stateMachine its state machine on this node
     * @param queryHandler answers queries from that state machine
     * @return the definition
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
                queryHandler,
                Optional.empty());
    }

    /**
     * Returns the definition of the traffic group. Other nodes may join its first voters or take
     * their places.
     *
     * @param voters its first voters
     * @param voterCount the number of voters that the leader establishes
     * @param stateMachine its state machine on this node
     * @param queryHandler answers queries from that state machine
     * @return the definition
     */
    public static GroupDefinition traffic(
            List<NodeId> voters,
            int voterCount,
            StateMachine stateMachine,
            GroupQueryHandler queryHandler) {
        return new GroupDefinition(
                TRAFFIC,
                TRAFFIC_TOPIC,
                voters,
                TRAFFIC_ELECTION_TIMEOUT_MS,
                TRAFFIC_HEARTBEAT_MS,
                stateMachine,
                queryHandler,
                Optional.of(new VoterReplacement(voterCount, TRAFFIC_VOTER_ABSENCE_MS)));
    }

    /**
     * Returns whether a node runs a replica of the group.
     *
     * @param node the node
     * @return true if the node is one of the first voters or may become a voter
     */
    boolean hasReplicaOn(NodeId node) {
        return voters.contains(node) || voterReplacement.isPresent();
    }
}
