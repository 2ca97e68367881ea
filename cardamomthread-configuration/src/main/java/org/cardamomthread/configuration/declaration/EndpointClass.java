package org.cardamomthread.configuration.declaration;

import java.util.Objects;
import org.cardamomthread.core.id.EndpointClassId;

/**
 * Declares what endpoints of one class bear and honour.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id id that endpoints announce
 * @param coldConcurrency requests that a cold endpoint bears at once
 * @param warmConcurrency requests that a warm endpoint bears at once
 * @param warmUpMs time from cold to warm
 * @param prefillTokensPerSecond prompt tokens read a second, 0 for plain services
 * @param decodeTokensPerSecond tokens generated a second for one request, 0 for plain services
 * @param ordersFenced true if an order with an old fencing number is refused
 */
public record EndpointClass(
        EndpointClassId id,
        int coldConcurrency,
        int warmConcurrency,
        long warmUpMs,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        boolean ordersFenced) {
    /** Checks the arguments. */
    public EndpointClass {
        Objects.requireNonNull(id, "id must not be null");
    }
}
