package org.cardamomthread.configuration.settings;

import java.util.Objects;
import org.cardamomthread.configuration.document.NetworkAddress;

/**
 * Holds the addresses on which a node listens.
 *
 * <p>Immutable and thread-safe.
 *
 * @param callers address for requests of callers
 * @param endpoints address for connections of endpoints
 * @param operators address for the operator API, metrics and health checks
 * @param peers address for connections of other nodes
 */
public record Listeners(
        NetworkAddress callers,
        NetworkAddress endpoints,
        NetworkAddress operators,
        NetworkAddress peers) {
    /** Validates the components. */
    public Listeners {
        Objects.requireNonNull(callers, "callers must not be null");
        Objects.requireNonNull(endpoints, "endpoints must not be null");
        Objects.requireNonNull(operators, "operators must not be null");
        Objects.requireNonNull(peers, "peers must not be null");
    }
}
