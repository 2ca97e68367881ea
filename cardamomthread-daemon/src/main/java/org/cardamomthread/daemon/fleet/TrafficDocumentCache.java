package org.cardamomthread.daemon.fleet;

import java.util.Optional;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.daemon.dialect.PlatformDialect;

/** Decodes the traffic document of this node's replica once a version. Used by one thread. */
final class TrafficDocumentCache {

    private final TrafficReplica replica;
    private final PlatformDialect dialect;
    private Optional<RouteTable> routes = Optional.empty();

    TrafficDocumentCache(TrafficReplica replica, PlatformDialect dialect) {
        this.replica = replica;
        this.dialect = dialect;
    }

    /** Returns the document in force, or empty before the first. */
    Optional<RouteTable> current() {
        TrafficState state = replica.getState();
        long heldVersion = routes.map(table -> table.document().version()).orElse(0L);
        if (state.getDocumentVersion() != heldVersion) {
            try {
                routes =
                        Optional.of(
                                new RouteTable(
                                        dialect.decodeDocument(state.getDocument().toByteArray())));
            } catch (MalformedMessageException e) {
                throw new IllegalStateException("a document in the log must be readable", e);
            }
        }
        return routes;
    }
}
