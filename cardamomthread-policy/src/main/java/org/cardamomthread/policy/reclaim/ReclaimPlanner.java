package org.cardamomthread.policy.reclaim;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** Decides what happens to the calls on a host that is being reclaimed. */
public interface ReclaimPlanner {

    /**
     * Decides for all calls of a host.
     *
     * @param calls the calls
     * @param targets gives the endpoint that would take over a call, or empty without any
     * @param remainingMs time until the reclaim, in milliseconds
     * @return one action for each call, in the order in which they have to begin
     */
    List<ReclaimAction> plan(
            List<AffectedCall> calls,
            Function<AffectedCall, Optional<MoveTarget>> targets,
            long remainingMs);
}
