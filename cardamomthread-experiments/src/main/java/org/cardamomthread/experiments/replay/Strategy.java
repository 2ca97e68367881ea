package org.cardamomthread.experiments.replay;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cardamomthread.policy.routing.EndpointCandidate;

/** Selects endpoints and states which further mechanisms a replay uses. */
interface Strategy {

    /** Returns the name used in reports and on the command line. */
    String name();

    /** Selects one of the endpoints that have a credit, or none. */
    Optional<EndpointCandidate> selectEndpoint(
            Call call,
            List<EndpointCandidate> usable,
            SimulatedGatewayView view,
            long nowMs,
            Random random);

    /** Returns whether credits are limited by slow start. */
    default boolean usesSlowStart() {
        return true;
    }

    /** Returns whether gateways track cached prefixes. */
    default boolean usesPrefixes() {
        return false;
    }

    /** Returns whether deferrable calls are deferred until the price is low. */
    default boolean defersCalls() {
        return false;
    }

    /**
     * Returns whether calls are migrated on a reclaim notice rather than run again after the host
     * is gone.
     */
    default boolean migratesCalls() {
        return false;
    }
}
