package org.cardamomthread.configuration.traffic;

import java.util.List;
import java.util.Objects;
import org.cardamomthread.core.id.RouteId;

/**
 * Describes which requests go to which services, and how. Immutable.
 *
 * @param id the route's name
 * @param host the host name of its requests, in lower case
 * @param pathPrefix the beginning of their paths, with a slash at both ends
 * @param repeatability how often a request may run
 * @param timeoutMs longest time for the whole answer, in milliseconds
 * @param latencyTargetMs time within which an answer, or a stream's first event, is worth most, in
 *     milliseconds
 * @param maxEventGapMs longest pause between two events of a punctual stream, in milliseconds
 * @param priority rank, 0 is the most urgent
 * @param services the services that share its requests
 * @param maxAttempts the most endpoints to which one request may be sent
 * @param isPublic whether its requests need no key
 */
public record TrafficRoute(
        RouteId id,
        String host,
        String pathPrefix,
        Repeatability repeatability,
        long timeoutMs,
        long latencyTargetMs,
        long maxEventGapMs,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean isPublic) {

    /** Copies the services. */
    public TrafficRoute {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(host, "host must not be null");
        Objects.requireNonNull(pathPrefix, "pathPrefix must not be null");
        Objects.requireNonNull(repeatability, "repeatability must not be null");
        services = List.copyOf(services);
    }

    /**
     * Adds the weights of the services.
     *
     * @return the sum, 0 if no service gets requests
     */
    public double totalWeight() {
        return services.stream().mapToDouble(WeightedService::weight).sum();
    }
}
