package org.cardamomthread.policy.rollout;

import java.util.Objects;
import java.util.Optional;
import org.cardamomthread.core.id.RouteId;

/**
 * States what a move does next and why.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param state the state from now on
 * @param share share of the calls for the new version where routes are not told apart, 0 to 1
 * @param otherShare share on the routes that are not probed, 0 to 1
 * @param probedRoute route on which a suspicion is settled, or empty
 * @param reason why
 * @param detail the reason in a sentence for operators
 */
public record RolloutVerdict(
        MoveState state,
        double share,
        double otherShare,
        Optional<RouteId> probedRoute,
        RolloutReason reason,
        String detail) {

    /** Share of a route's calls for the new version while a suspicion is settled there. */
    public static final double PROBE_SHARE = 0.75;

    /** Checks the parts. */
    public RolloutVerdict {
        Objects.requireNonNull(state, "state must be given");
        Objects.requireNonNull(probedRoute, "probedRoute must be given");
        Objects.requireNonNull(reason, "reason must be given");
        Objects.requireNonNull(detail, "detail must be given");
    }

    /**
     * Returns the share of the new version on one route.
     *
     * @param route the route
     * @return 0 to 1
     */
    public double shareOf(RouteId route) {
        boolean probed = probedRoute.isPresent() && probedRoute.get().equals(route);
        return probed ? PROBE_SHARE : otherShare;
    }
}
