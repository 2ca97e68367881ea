package org.cardamomthread.daemon.operator;

import java.util.List;
import org.cardamomthread.core.id.NodeId;

/**
 * The status of the system as one node knows it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param node the node that answers
 * @param nodes all known nodes, including the answering one
 * @param endpoints the endpoints available to the answering node
 * @param voters the members of the replication groups
 */
public record SystemStatus(
        NodeId node,
        List<NodeStatus> nodes,
        List<EndpointStatus> endpoints,
        List<VoterStatus> voters) {
    /** Copies the lists. */
    public SystemStatus {
        nodes = List.copyOf(nodes);
        endpoints = List.copyOf(endpoints);
        voters = List.copyOf(voters);
    }
}
