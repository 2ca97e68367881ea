package org.cardamomthread.daemon.operator;

import java.util.List;
import org.cardamomthread.core.id.NodeId;

/**
 * Describes the system as one node knows it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the node that answers
 * @param nodes the nodes
 * @param endpoints the endpoints
 * @param voters the voters
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
