package org.cardamomthread.configuration.settings;

import java.util.Objects;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;

/**
 * Describes a node that is known at the start.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id id of the node
 * @param dataCentre its data centre
 * @param address address of its peers listener
 * @param voter true if it has a disk and may vote
 */
public record PeerSettings(
        NodeId id, DataCentreId dataCentre, NetworkAddress address, boolean voter) {
    /** Checks the arguments. */
    public PeerSettings {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
        Objects.requireNonNull(address, "address must not be null");
    }
}
