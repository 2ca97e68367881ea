package org.cardamomthread.configuration.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.ServiceId;

/** Checks the meaning of traffic documents. Stateless and safe for use by several threads. */
public final class TrafficDocumentCheck {

    private TrafficDocumentCheck() {}

    /**
     * Checks that a document can be put in force.
     *
     * @param document the document
     * @throws InvalidTrafficException names the first error and its remedy
     */
    public static void check(TrafficDocument document) throws InvalidTrafficException {
        Set<ServiceId> services =
                document.services().stream().map(TrafficService::id).collect(Collectors.toSet());
        require(
                services.size() == document.services().size(),
                "two services have the same name: rename one");
        Set<String> matches = new HashSet<>();
        for (TrafficRoute route : document.routes()) {
            checkRoute(route, services);
            require(
                    matches.add(route.host() + " " + route.pathPrefix()),
                    "two routes match host %s and prefix %s: remove one",
                    route.host(),
                    route.pathPrefix());
        }
        checkKeysUnique(document);
    }

    private static void checkRoute(TrafficRoute route, Set<ServiceId> services)
            throws InvalidTrafficException {
        require(
                route.timeoutMs() > 0,
                "the timeout of route %s is %d ms: set a positive one",
                route.id(),
                route.timeoutMs());
        require(
                route.totalWeight() > 0,
                "the weights of route %s add up to 0: give one service a positive weight",
                route.id());
        require(
                route.pathPrefix().startsWith("/") && route.pathPrefix().endsWith("/"),
                "the prefix %s of route %s must begin and end with a slash",
                route.pathPrefix(),
                route.id());
        for (WeightedService share : route.services()) {
            require(
                    services.contains(share.service()),
                    "route %s names the unknown service %s: declare it, or name another",
                    route.id(),
                    share.service());
        }
    }

    private static void checkKeysUnique(TrafficDocument document) throws InvalidTrafficException {
        Map<String, ClientAccountId> owners = new HashMap<>();
        for (TrafficAccount account : document.accounts()) {
            for (String key : account.keys()) {
                ClientAccountId owner = owners.putIfAbsent(key, account.id());
                require(
                        owner == null || owner.equals(account.id()),
                        "accounts %s and %s share a key: give each its own",
                        owner,
                        account.id());
            }
        }
    }

    private static void require(boolean condition, String form, Object... values)
            throws InvalidTrafficException {
        if (!condition) {
            throw new InvalidTrafficException(String.format(form, values));
        }
    }
}
