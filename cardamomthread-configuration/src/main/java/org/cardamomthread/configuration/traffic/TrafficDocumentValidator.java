package org.cardamomthread.configuration.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.ServiceId;

/** Validates traffic documents. Stateless and thread-safe. */
public final class TrafficDocumentValidator {

    private TrafficDocumentValidator() {}

    /**
     * Validates a document before it is applied.
     *
     * @param document the document
     * @throws InvalidTrafficDocumentException if the document is invalid; the message names the
     *     first error and its remedy
     */
    public static void validate(TrafficDocument document) throws InvalidTrafficDocumentException {
        Set<ServiceId> serviceIds =
                document.services().stream().map(TrafficService::id).collect(Collectors.toSet());
        require(
                serviceIds.size() == document.services().size(),
                "two services have the same name: rename one");
        Set<String> hostsAndPrefixes = new HashSet<>();
        for (TrafficRoute route : document.routes()) {
            validateRoute(route, serviceIds);
            require(
                    hostsAndPrefixes.add(route.host() + " " + route.pathPrefix()),
                    "two routes match host %s and prefix %s: remove one",
                    route.host(),
                    route.pathPrefix());
        }
        validateKeysUnique(document);
    }

    private static void validateRoute(TrafficRoute route, Set<ServiceId> serviceIds)
            throws InvalidTrafficDocumentException {
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
                "the prefix %s of route %s must start and end with a slash",
                route.pathPrefix(),
                route.id());
        for (WeightedService weightedService : route.services()) {
            require(
                    serviceIds.contains(weightedService.service()),
                    "route %s names the unknown service %s: declare it, or name another",
                    route.id(),
                    weightedService.service());
        }
    }

    private static void validateKeysUnique(TrafficDocument document)
            throws InvalidTrafficDocumentException {
        Map<String, ClientAccountId> accountsByKey = new HashMap<>();
        for (TrafficAccount account : document.accounts()) {
            for (String key : account.keys()) {
                ClientAccountId otherAccount = accountsByKey.putIfAbsent(key, account.id());
                require(
                        otherAccount == null || otherAccount.equals(account.id()),
                        "accounts %s and %s share a key: give each its own",
                        otherAccount,
                        account.id());
            }
        }
    }

    private static void require(boolean condition, String format, Object... arguments)
            throws InvalidTrafficDocumentException {
        if (!condition) {
            throw new InvalidTrafficDocumentException(String.format(format, arguments));
        }
    }
}
