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
 * Looks up the routes, services and client accounts of one traffic document. Immutable and
 * thread-safe.
 */
public final class RouteTable {

    private final TrafficDocument document;
    private final Map<String, List<TrafficRoute>> routesByHost = new HashMap<>();
    private final Map<String, TrafficAccount> accountsByKey = new HashMap<>();
    private final Map<ServiceId, TrafficService> services = new HashMap<>();

    /**
     * Creates a table with the content of a document.
     *
     * @param document a document that {@link TrafficDocumentValidator} accepts
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
     * Returns the document of this table.
     *
     * @return the document that this table was created from
     */
    public TrafficDocument document() {
        return document;
    }

    /**
     * Finds the route of a request: of the routes of its host, the one with the longest matching
     * path prefix.
     *
     * @param hostHeader value of the Host header, with or without a port, in any case
     * @param path path of the request, without the query
     * @return the route, or empty if no route matches
     */
    public Optional<TrafficRoute> findRoute(String hostHeader, String path) {
        int portStart = hostHeader.lastIndexOf(':');
        String host = portStart < 0 ? hostHeader : hostHeader.substring(0, portStart);
        return routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds the client account with a key.
     *
     * @param key the key that the client presented
     * @return the account, or empty if no account has the key
     */
    public Optional<TrafficAccount> findAccountByKey(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /**
     * Finds a client account by its name.
     *
     * @param name the id of the account as a string
     * @return the account, or empty if the document contains no account with that name
     */
    public Optional<TrafficAccount> findAccountByName(String name) {
        return document.accounts().stream()
                .filter(account -> account.id().value().equals(name))
                .findFirst();
    }

    /**
     * Finds a service.
     *
     * @param service id of the service
     * @return the service, or empty if the document does not contain it
     */
    public Optional<TrafficService> findService(ServiceId service) {
        return Optional.ofNullable(services.get(service));
    }

    /**
     * Returns whether requests need a key, unless their route is public.
     *
     * @return true if the document contains client accounts
     */
    public boolean hasAccounts() {
        return !document.accounts().isEmpty();
    }
}
