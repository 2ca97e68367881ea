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
 * Declares a service that callers address.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id its id
 * @param kind model engine or plain service
 * @param profile profile of its traffic
 * @param versions versions that may run
 * @param currentVersion version that gets the traffic outside a version move
 * @param routes routes of a plain service, of which the first match counts
 * @param limits bounds on one request
 * @param rollout how a version move goes forward
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
    /** Checks the arguments. */
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
     * <p>A path that an endpoint could read as another one (dot segments, empty segments, encoded
     * slashes or dots) belongs to no route, so that a route that may run at most once is not
     * reached by a detour.
     *
     * @param method the method in capitals
     * @param path the path below the service, beginning with a slash, without the query
     * @return the first route that matches, or empty if the call must be refused
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
     * Copies this service with another current version.
     *
     * @param version the version
     * @return the copy
     */
    public Service withCurrentVersion(VersionId version) {
        return new Service(id, kind, profile, versions, version, routes, limits, rollout);
    }
}
