package org.cardamomthread.policy.rollout;

import java.util.Objects;
import java.util.Optional;
import org.cardamomthread.core.id.RouteId;

/**
 * Holds the decision on the next action of a rollout and its reason.
 *
 * <p>Immutable and thread-safe.
 *
 * @param state new state of the rollout
 * @param overallShare share of all calls that go to the new version if the routes cannot be
 *     distinguished, 0 to 1
 * @param unprobedShare share of the calls on routes that are not probed, 0 to 1
 * @param probedRoute route on which a suspicion is being probed, or empty
 * @param reason reason for the decision
 * @param detail explanation for operators
 */
public record RolloutDecision(
        RolloutState state,
        double overallShare,
        double unprobedShare,
        Optional<RouteId> probedRoute,
        RolloutReason reason,
        String detail) {

    /** Share of the calls that go to the new version on a probed route. */
    public static final double PROBE_SHARE = 0.75;

    /** Validates the components. */
    public RolloutDecision {
        Objects.requireNonNull(state, "state must not be null");
        Objects.requireNonNull(probedRoute, "probedRoute must not be null");
        Objects.requireNonNull(reason, "reason must not be null");
        Objects.requireNonNull(detail, "detail must not be null");
    }

    /**
     * Returns the share of the calls on a route that go to the new version.
     *
     * @return share, 0 to 1
     */
    public double shareOf(RouteId route) {
        boolean probed = probedRoute.isPresent() && probedRoute.get().equals(route);
        return probed ? PROBE_SHARE : unprobedShare;
    }
}
