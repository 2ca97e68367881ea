package org.cardamomthread.experiments.replay;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cardamomthread.policy.routing.EndpointCandidate;

/** Chooses endpoints and says which other decisions are in use. */
interface Strategy {

    /** Returns the name for reports. */
    String name();

    /** Chooses among endpoints, all with a credit. */
    Optional<EndpointCandidate> choose(
            Call call, List<EndpointCandidate> usable, GatewayView view, long nowMs, Random random);

    /** Tells whether endpoints are protected by slow start. */
    default boolean startsSlowly() {
        return true;
    }

    /** Tells whether cache events are used. */
    default boolean usesPrefixes() {
        return false;
    }

    /** Tells whether patient work is held for a low price. */
    default boolean holdsPatientWork() {
        return false;
    }

    /** Tells whether calls are moved after a reclaim notice, rather than run again after it. */
    default boolean movesCalls() {
        return false;
    }
}
