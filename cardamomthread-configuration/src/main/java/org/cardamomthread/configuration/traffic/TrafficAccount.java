package org.cardamomthread.configuration.traffic;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;
import org.cardamomthread.core.id.ClientAccountId;

/**
 * Describes a client account. Immutable.
 *
 * @param id the account
 * @param keys the keys that its clients present
 * @param priority replaces the route's priority, if present
 * @param countsTokens whether its quota counts tokens instead of requests
 * @param defaultTokens tokens of a request that names none
 * @param ratePerS quota a second over all nodes, 0 for no limit
 * @param burst what may be used at once beyond the rate
 */
public record TrafficAccount(
        ClientAccountId id,
        List<String> keys,
        OptionalInt priority,
        boolean countsTokens,
        long defaultTokens,
        double ratePerS,
        double burst) {

    /** Copies the keys. */
    public TrafficAccount {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(priority, "priority must not be null");
        keys = List.copyOf(keys);
    }
}
