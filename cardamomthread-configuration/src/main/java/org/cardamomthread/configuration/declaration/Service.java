package org.cardamomthread.configuration.declaration;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.cardamomthread.core.id.ProfileId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Declares a service that callers send requests to.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id id of the service
 * @param kind whether the endpoints are model engines or a plain service
 * @param profile id of the profile of its traffic
 * @param versions versions that may run, including the current one
 * @param currentVersion version that gets all traffic unless a version move is running
 * @param routes routes of a plain service; the first match applies
 * @param limits limits of a single request
 * @param rollout policy of version moves
 */
public record Service(
        ServiceId id,
        ServiceKind kind,
        ProfileId profile,
        SortedSet<VersionId> versions,
        VersionId currentVersion,
        List<Route> routes,
        ServiceLimits limits,
        RolloutPolicy rollout) {
    /** Validates the components. */
    public Service {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(kind, "kind must not be null");
        Objects.requireNonNull(profile, "profile must not be null");
        Objects.requireNonNull(currentVersion, "currentVersion must not be null");
        Objects.requireNonNull(limits, "limits must not be null");
        Objects.requireNonNull(rollout, "rollout must not be null");
        versions = Collections.unmodifiableSortedSet(new TreeSet<>(versions));
        routes = List.copyOf(routes);
    }

    /**
     * Finds the route of a call to a plain service.
     *
     * <p>A path that an endpoint could interpret as a different path (dot segments, empty segments,
     * encoded slashes or dots) matches no route. Otherwise a call could reach a route that may run
     * at most once by matching a repeatable one.
     *
     * @param method the HTTP method, in upper case
     * @param path the path relative to the service, starting with a slash, without the query
     * @return the first route that matches, or empty if the call must be rejected
     */
    public Optional<Route> findRoute(String method, String path) {
        return PathPattern.decode(path)
                .flatMap(
                        decoded ->
                                routes.stream()
                                        .filter(route -> route.matches(method, decoded))
                                        .findFirst());
    }

    /**
     * Returns a copy of this service with another current version.
     *
     * @param version the new current version
     * @return the copy
     */
    public Service withCurrentVersion(VersionId version) {
        return new Service(id, kind, profile, versions, version, routes, limits, rollout);
    }
}
