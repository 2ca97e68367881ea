package org.cardamomthread.configuration.settings;

import java.util.Objects;
import org.cardamomthread.configuration.document.NetworkAddress;

/**
 * Holds the addresses on which a node listens.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param callers address for callers
 * @param endpoints address for endpoints
 * @param operators address for operators, metrics and health checks
 * @param peers address for other nodes
 */
public record Listeners(
        NetworkAddress callers,
        NetworkAddress endpoints,
        NetworkAddress operators,
        NetworkAddress peers) {
    /** Checks the arguments. */
    public Listeners {
        Objects.requireNonNull(callers, "callers must not be null");
        Objects.requireNonNull(endpoints, "endpoints must not be null");
        Objects.requireNonNull(operators, "operators must not be null");
        Objects.requireNonNull(peers, "peers must not be null");
    }
}
