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
 * <p>Immutable and safe for use by several threads.
 *
 * @param id its id, unique in the service
 * @param paths patterns of the paths below the service
 * @param methods methods in capitals
 * @param repeatable false if a call may run at most once
 */
public record Route(
        RouteId id, List<PathPattern> paths, SortedSet<String> methods, boolean repeatable) {
    /** Checks the arguments. */
    public Route {
        Objects.requireNonNull(id, "id must not be null");
        paths = List.copyOf(paths);
        methods = Collections.unmodifiableSortedSet(new TreeSet<>(methods));
    }

    /**
     * Tells whether a call belongs to this route.
     *
     * @param method the method in capitals
     * @param path the path below the service, as {@link PathPattern#decode} returns it
     * @return true if the method and one of the patterns match
     */
    public boolean matches(String method, String path) {
        return methods.contains(method) && paths.stream().anyMatch(each -> each.matches(path));
    }
}
