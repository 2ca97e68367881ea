package org.cardamomthread.policy.reclaim;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** Plans what happens to the calls on a host that is being reclaimed. */
public interface ReclaimPlanner {

    /**
     * Plans an action for each call on a host.
     *
     * @param targets function that returns the endpoint that would take over a call, or empty if
     *     there is none
     * @param remainingMs time until the reclaim, in milliseconds
     * @return one action per call, in the order in which they must be started
     */
    List<ReclaimAction> plan(
            List<AffectedCall> calls,
            Function<AffectedCall, Optional<MigrationTarget>> targets,
            long remainingMs);
}
