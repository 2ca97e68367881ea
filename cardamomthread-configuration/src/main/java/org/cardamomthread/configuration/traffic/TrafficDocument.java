package org.cardamomthread.configuration.traffic;

import java.util.List;

/**
 * Holds one version of the routes, services and client accounts. Immutable.
 *
 * @param version version number chosen by operators; the document with the highest version applies
 * @param routes the routes
 * @param services the services
 * @param accounts the client accounts; if there are none, requests need no key
 */
public record TrafficDocument(
        long version,
        List<TrafficRoute> routes,
        List<TrafficService> services,
        List<TrafficAccount> accounts) {

    /** Makes immutable copies of the lists. */
    public TrafficDocument {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
    }
}
