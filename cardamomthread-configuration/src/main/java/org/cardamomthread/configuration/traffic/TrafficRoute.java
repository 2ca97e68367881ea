package org.cardamomthread.configuration.traffic;

import java.util.List;
import java.util.Objects;
import org.cardamomthread.core.id.RouteId;

/**
 * Describes which requests are sent to which services, and with which limits. Immutable.
 *
 * @param id id of the route
 * @param host host name of matching requests, in lower case
 * @param pathPrefix path prefix of matching requests, which starts and ends with a slash
 * @param requestKind whether a request may run more than once
 * @param timeoutMs maximum time for the complete response, in milliseconds
 * @param latencyTargetMs target time to the response or to the first event of a stream, in
 *     milliseconds; a later response is worth less
 * @param maxEventGapMs maximum time between two events of a stream that is on time, in milliseconds
 * @param priority priority, 0 is the most urgent
 * @param services services among which the requests are distributed by weight
 * @param maxAttempts maximum number of endpoints that a request may be sent to
 * @param isPublic true if requests need no key
 */
public record TrafficRoute(
        RouteId id,
        String host,
        String pathPrefix,
        RequestKind requestKind,
        long timeoutMs,
        long latencyTargetMs,
        long maxEventGapMs,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean isPublic) {

    /** Validates the components and copies the services. */
    public TrafficRoute {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(host, "host must not be null");
        Objects.requireNonNull(pathPrefix, "pathPrefix must not be null");
        Objects.requireNonNull(requestKind, "requestKind must not be null");
        services = List.copyOf(services);
    }

    /**
     * Returns the sum of the weights of the services.
     *
     * @return the sum, 0 if no service gets requests
     */
    public double totalWeight() {
        return services.stream().mapToDouble(WeightedService::weight).sum();
    }
}
