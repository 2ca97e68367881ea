package org.cardamomthread.configuration.traffic;

import java.util.List;

/**
 * Holds one version of the routes, services and client accounts. Immutable.
 *
 * @param version the operators' version; the highest is in force
 * @param routes the routes
 * @param services the services
 * @param accounts the client accounts; requests need no key if there are none
 */
public record TrafficDocument(
        long version,
        List<TrafficRoute> routes,
        List<TrafficService> services,
        List<TrafficAccount> accounts) {

    /** Copies the lists. */
    public TrafficDocument {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
    }
}
