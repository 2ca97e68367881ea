package org.cardamomthread.configuration.declaration;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;
import org.cardamomthread.core.id.RouteId;

/**
 * Declares a route of a plain service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id id of the route, unique within the service
 * @param paths patterns of the paths, relative to the service
 * @param methods HTTP methods, in upper case
 * @param repeatable true if a call may run more than once, false if at most once
 */
public record Route(
        RouteId id, List<PathPattern> paths, SortedSet<String> methods, boolean repeatable) {
    /** Validates the components. */
    public Route {
        Objects.requireNonNull(id, "id must not be null");
        paths = List.copyOf(paths);
        methods = Collections.unmodifiableSortedSet(new TreeSet<>(methods));
    }

    /**
     * Returns whether this route matches a call.
     *
     * @param method the HTTP method, in upper case
     * @param path the path relative to the service, as {@link PathPattern#decode} returns it
     * @return true if the method and one of the patterns match
     */
    public boolean matches(String method, String path) {
        return methods.contains(method)
                && paths.stream().anyMatch(pattern -> pattern.matches(path));
    }
}
