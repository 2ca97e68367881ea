package org.cardamomthread.daemon.fleet;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;

/**
 * Holds the settings of a node that joins through seed nodes. Immutable.
 *
 * @param role the role of the node
 * @param nodeName the node's name on the platform
 * @param ip the node's IP address, which also serves as its node id
 * @param dataCentre the data centre in which the node runs
 * @param peerPort the port on which all nodes listen for other nodes
 * @param peerKey the secret that all nodes share
 * @param callers the listen address for clients, on gateways
 * @param readiness the listen address for the platform's readiness checks, on gateways
 * @param control the listen address for operators and endpoints, on control nodes
 * @param metrics the listen address for metrics
 * @param seeds the control nodes through which the node joins
 * @param isFirstStart whether the entire system starts for the first time
 * @param dataFolder the folder for durable state, on control nodes
 * @param platform the address of the platform's API for the controllers, or empty if there is none
 * @param limits the limits that the platform requires
 * @param clientSettings the limits on clients that send without bound
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
        FleetLimits limits,
        ClientSettings clientSettings) {

    /** Creates the settings with a copy of the seeds. */
    FleetSettings {
        seeds = List.copyOf(seeds);
    }

    /** Returns the id of this node. */
    NodeId nodeId() {
        return new NodeId(ip);
    }

    /** Returns the distinct node ids of the seeds, sorted so that all nodes use the same order. */
    List<NodeId> seedNodes() {
        return seeds.stream().map(seed -> new NodeId(seed.ip())).distinct().sorted().toList();
    }
}
