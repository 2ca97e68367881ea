package org.cardamomthread.configuration.declaration;

import java.util.Objects;
import org.cardamomthread.core.id.ProfileId;

/**
 * Declares how much latency, cost and risk a kind of traffic accepts.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id its id
 * @param latency latency target
 * @param cost cost preference
 * @param risk accepted reclaim risk
 * @param patience accepted delay
 * @param priority priority, 0 (lowest) to 9 (highest)
 */
public record Profile(
        ProfileId id,
        LatencyTarget latency,
        CostPreference cost,
        RiskTolerance risk,
        DelayTolerance patience,
        int priority) {
    /** Checks the arguments. */
    public Profile {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(latency, "latency must not be null");
        Objects.requireNonNull(cost, "cost must not be null");
        Objects.requireNonNull(risk, "risk must not be null");
        Objects.requireNonNull(patience, "patience must not be null");
    }
}
