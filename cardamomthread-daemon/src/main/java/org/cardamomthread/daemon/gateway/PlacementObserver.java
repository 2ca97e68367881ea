package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.policy.routing.Selection;

/** Hears of choices and their results. Implementations must not block. */
interface PlacementObserver {

    /**
     * Hears how a choice went.
     *
     * @param request what the attempt needs
     * @param selection the choice
     */
    void observe(PlacementRequest request, Selection selection);

    /**
     * Hears how an attempt went.
     *
     * @param target what the call is for
     * @param endpoint the endpoint
     * @param version the version that served it
     * @param report what was seen
     */
    void report(CallTarget target, EndpointId endpoint, VersionId version, AttemptReport report);
}
