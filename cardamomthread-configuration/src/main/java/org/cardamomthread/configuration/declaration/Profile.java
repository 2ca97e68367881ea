package org.cardamomthread.configuration.declaration;

import java.util.Objects;
import org.cardamomthread.core.id.ProfileId;

/**
 * Declares how much latency, cost, reclaim risk and delay a class of traffic accepts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id id of the profile
 * @param latency latency targets
 * @param cost weight and limit of the price
 * @param risk accepted risk that an endpoint is reclaimed
 * @param patience accepted delay of requests
 * @param priority 0 (lowest) to 9 (highest)
 */
public record Profile(
        ProfileId id,
        LatencyTarget latency,
        CostPreference cost,
        RiskTolerance risk,
        Patience patience,
        int priority) {
    /** Validates the components. */
    public Profile {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(latency, "latency must not be null");
        Objects.requireNonNull(cost, "cost must not be null");
        Objects.requireNonNull(risk, "risk must not be null");
        Objects.requireNonNull(patience, "patience must not be null");
    }
}
