package org.cardamomthread.configuration.traffic;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;
import org.cardamomthread.core.id.ClientAccountId;

/**
 * Describes a client account and its quota. Immutable.
 *
 * @param id id of the account
 * @param keys keys by which its clients authenticate
 * @param priority overrides the priority of the route, if present
 * @param countsTokens true if the quota counts tokens, false if it counts requests
 * @param defaultTokens tokens charged for a request that does not state its number of tokens
 * @param ratePerS quota per second over all nodes, 0 for no limit
 * @param burst requests or tokens that can be used at once beyond the rate
 */
public record TrafficAccount(
        ClientAccountId id,
        List<String> keys,
        OptionalInt priority,
        boolean countsTokens,
        long defaultTokens,
        double ratePerS,
        double burst) {

    /** Validates the components and copies the keys. */
    public TrafficAccount {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(priority, "priority must not be null");
        keys = List.copyOf(keys);
    }
}
