package org.cardamomthread.membership.home;

import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.hash.RendezvousHash;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.node.NodeDirectory;

/**
 * Chooses the home of an endpoint by rendezvous hashing over the usable nodes of its data centre,
 * or of another data centre if its own has none.
 *
 * <p>Nodes with different views of the cluster may choose different homes; {@link HomeOwnership}
 * ensures that only one of them grants credits at a time. Stateless, and thread-safe if the
 * directory is.
 */
public final class HomeAssignment {

    private final NodeDirectory directory;

    /**
     * Creates an assignment over the nodes of a directory.
     *
     * @param directory the directory that provides the usable nodes
     */
    public HomeAssignment(NodeDirectory directory) {
        this.directory = directory;
    }

    /**
     * Returns the home of an endpoint according to the current view of the cluster.
     *
     * @param endpoint the id of the endpoint
     * @param dataCentre the data centre where the endpoint runs
     * @return the id of the home node, or empty if no node is usable
     */
    public Optional<NodeId> homeOf(EndpointId endpoint, DataCentreId dataCentre) {
        Optional<NodeId> localHome = choose(endpoint, directory.usableNodes(dataCentre));
        if (localHome.isPresent()) {
            return localHome;
        }
        List<DataCentreId> otherDataCentres =
                directory.dataCentres().stream()
                        .filter(other -> !directory.usableNodes(other).isEmpty())
                        .toList();
        return RendezvousHash.choose(dataCentre.value(), otherDataCentres, DataCentreId::value)
                .flatMap(other -> choose(endpoint, directory.usableNodes(other)));
    }

    private static Optional<NodeId> choose(EndpointId endpoint, List<NodeId> nodes) {
        return RendezvousHash.choose(endpoint.value(), nodes, NodeId::value);
    }
}
