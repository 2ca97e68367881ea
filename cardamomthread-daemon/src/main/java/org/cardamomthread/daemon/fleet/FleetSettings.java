package org.cardamomthread.daemon.fleet;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;

/**
 * Holds the settings of a node that joins by seeds. Immutable.
 *
 * @param role what the node does
 * @param nodeName the node's name on the platform
 * @param ip the node's address, which also identifies it among the nodes
 * @param dataCentre its data centre
 * @param peerPort the port on which every node listens for other nodes
 * @param peerKey the key that all nodes hold
 * @param callers where callers connect, on gateways
 * @param readiness where the platform asks whether the gateway is ready, on gateways
 * @param control where operators and endpoints connect, on control nodes
 * @param metrics where metrics are served
 * @param seeds control nodes to begin with
 * @param isFirstStart whether the whole system starts for the first time
 * @param dataFolder the folder for durable state, on control nodes
 * @param platform the platform's interface for duties, if it has one
 * @param limits the limits that the platform states
 */
record FleetSettings(
        FleetRole role,
        String nodeName,
        String ip,
        DataCentreId dataCentre,
        int peerPort,
        String peerKey,
        Optional<NetworkAddress> callers,
        Optional<NetworkAddress> readiness,
        Optional<NetworkAddress> control,
        NetworkAddress metrics,
        List<NetworkAddress> seeds,
        boolean isFirstStart,
        Optional<Path> dataFolder,
        Optional<NetworkAddress> platform,
        FleetLimits limits) {

    /** Copies the seeds. */
    FleetSettings {
        seeds = List.copyOf(seeds);
    }

    /** Returns this node's identity among the nodes. */
    NodeId nodeId() {
        return new NodeId(ip);
    }

    /** Lists the seeds' identities in one order on all nodes. */
    List<NodeId> seedNodes() {
        return seeds.stream().map(seed -> new NodeId(seed.ip())).distinct().sorted().toList();
    }
}
