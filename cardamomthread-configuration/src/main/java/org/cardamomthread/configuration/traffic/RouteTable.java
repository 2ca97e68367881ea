package org.cardamomthread.configuration.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.cardamomthread.core.id.ServiceId;

/**
 * Finds the route, service and account of a request in one traffic document. Immutable and safe for
 * use by several threads.
 */
public final class RouteTable {

    private final TrafficDocument document;
    private final Map<String, List<TrafficRoute>> routesByHost = new HashMap<>();
    private final Map<String, TrafficAccount> accountsByKey = new HashMap<>();
    private final Map<ServiceId, TrafficService> services = new HashMap<>();

    /**
     * Indexes a document.
     *
     * @param document a document that {@link TrafficDocumentCheck} accepts
     */
    public RouteTable(TrafficDocument document) {
        this.document = document;
        for (TrafficRoute route : document.routes()) {
            routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        Comparator<TrafficRoute> longestFirst =
                Comparator.comparingInt((TrafficRoute route) -> -route.pathPrefix().length());
        routesByHost.values().forEach(routes -> routes.sort(longestFirst));
        for (TrafficAccount account : document.accounts()) {
            account.keys().forEach(key -> accountsByKey.put(key, account));
        }
        document.services().forEach(service -> services.put(service.id(), service));
    }

    /**
     * Returns the indexed document.
     *
     * @return the document
     */
    public TrafficDocument document() {
        return document;
    }

    /**
     * Finds the route with the longest matching prefix.
     *
     * @param hostHeader the request's host, with or without a port
     * @param path the request's path without the query
     * @return the route, or empty if none matches
     */
    public Optional<TrafficRoute> findRoute(String hostHeader, String path) {
        int portStart = hostHeader.lastIndexOf(':');
        String host = portStart < 0 ? hostHeader : hostHeader.substring(0, portStart);
        return routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds the account that holds a key.
     *
     * @param key the key
     * @return the account, or empty if none holds it
     */
    public Optional<TrafficAccount> findAccount(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /**
     * Finds an account by its name.
     *
     * @param name the account's name
     * @return the account, or empty if the document has none of that name
     */
    public Optional<TrafficAccount> findAccountNamed(String name) {
        return document.accounts().stream()
                .filter(account -> account.id().value().equals(name))
                .findFirst();
    }

    /**
     * Finds a service.
     *
     * @param service the service
     * @return its description, or empty if the document has none
     */
    public Optional<TrafficService> findService(ServiceId service) {
        return Optional.ofNullable(services.get(service));
    }

    /**
     * Tells whether requests of routes that are not public need a key.
     *
     * @return true if the document has accounts
     */
    public boolean hasAccounts() {
        return !document.accounts().isEmpty();
    }
}
