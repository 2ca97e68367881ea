package org.cardamomthread.daemon.fleet;

import java.util.Optional;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.daemon.dialect.PlatformDialect;

/**
 * Caches the decoded traffic document of this node's replica and decodes each version once. Not
 * thread-safe.
 */
final class TrafficDocumentCache {

    private final TrafficReplica replica;
    private final PlatformDialect dialect;
    private Optional<RouteTable> routes = Optional.empty();

    TrafficDocumentCache(TrafficReplica replica, PlatformDialect dialect) {
        this.replica = replica;
        this.dialect = dialect;
    }

    /** Returns the routes of the current traffic document, or empty before the first one. */
    Optional<RouteTable> currentRoutes() {
        TrafficState state = replica.getState();
        long cachedVersion = routes.map(table -> table.document().version()).orElse(0L);
        if (state.getDocumentVersion() != cachedVersion) {
            try {
                routes =
                        Optional.of(
                                new RouteTable(
                                        dialect.decodeTrafficDocument(
                                                state.getDocument().toByteArray())));
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(
                        "the replicated log contains an unreadable traffic document", e);
            }
        }
        return routes;
    }
}
