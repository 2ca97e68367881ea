package org.cardamomthread.configuration.declaration;

import java.util.Objects;
import org.cardamomthread.core.id.EndpointClassId;

/**
 * Declares the capacity of the endpoints of one class and whether they enforce fencing.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id id by which endpoints announce their class
 * @param coldConcurrency maximum number of concurrent requests of a cold endpoint
 * @param warmConcurrency maximum number of concurrent requests of a warm endpoint
 * @param warmUpMs time that an endpoint takes to get from cold to warm, in milliseconds
 * @param prefillTokensPerSecond prompt tokens processed per second, 0 for plain services
 * @param decodeTokensPerSecond tokens generated per second for one request, 0 for plain services
 * @param ordersFenced true if the endpoints reject an order with an outdated fencing number
 */
public record EndpointClass(
        EndpointClassId id,
        int coldConcurrency,
        int warmConcurrency,
        long warmUpMs,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        boolean ordersFenced) {
    /** Validates the components. */
    public EndpointClass {
        Objects.requireNonNull(id, "id must not be null");
    }
}
