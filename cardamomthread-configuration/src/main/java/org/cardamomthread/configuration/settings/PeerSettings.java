package org.cardamomthread.configuration.settings;

import java.util.Objects;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;

/**
 * Describes a node that is known at startup.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id id of the node
 * @param dataCentre data centre of the node
 * @param address address of the peers listener of the node
 * @param voter true if the node has a disk and may vote in replication groups
 */
public record PeerSettings(
        NodeId id, DataCentreId dataCentre, NetworkAddress address, boolean voter) {
    /** Validates the components. */
    public PeerSettings {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
        Objects.requireNonNull(address, "address must not be null");
    }
}
