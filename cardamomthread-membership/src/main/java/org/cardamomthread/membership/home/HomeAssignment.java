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
 * or of another one if it has none.
 *
 * <p>Nodes with differing views may choose differently; {@link HomeTenure} keeps that safe. Holds
 * no state of its own; as safe for several threads as its directory.
 */
public final class HomeAssignment {

    private final NodeDirectory directory;

    /**
     * Creates an assignment over a directory.
     *
     * @param directory the nodes
     */
    public HomeAssignment(NodeDirectory directory) {
        this.directory = directory;
    }

    /**
     * Chooses the home of an endpoint.
     *
     * @param endpoint the endpoint
     * @param dataCentre where it is
     * @return the home, or empty if no node is usable
     */
    public Optional<NodeId> homeOf(EndpointId endpoint, DataCentreId dataCentre) {
        Optional<NodeId> local = choose(endpoint, directory.usableNodes(dataCentre));
        if (local.isPresent()) {
            return local;
        }
        List<DataCentreId> others =
                directory.dataCentres().stream()
                        .filter(other -> !directory.usableNodes(other).isEmpty())
                        .toList();
        return RendezvousHash.choose(dataCentre.value(), others, DataCentreId::value)
                .flatMap(other -> choose(endpoint, directory.usableNodes(other)));
    }

    private static Optional<NodeId> choose(EndpointId endpoint, List<NodeId> nodes) {
        return RendezvousHash.choose(endpoint.value(), nodes, NodeId::value);
    }
}
