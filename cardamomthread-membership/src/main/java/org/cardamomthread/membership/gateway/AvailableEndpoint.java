package org.cardamomthread.membership.gateway;

import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.endpoint.EndpointDescription;
import org.cardamomthread.membership.endpoint.EndpointLoad;

/**
 * Shows an endpoint as a gateway knows it from its home.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param endpoint the endpoint
 * @param dataCentre where it is
 * @param home the node that granted the credits
 * @param incarnation the endpoint's incarnation
 * @param description its last description
 * @param load its last reported load
 * @param loadReceivedMs when the load arrived here, on the local monotonic clock
 * @param startedSinceLoad requests that this gateway started there since then
 * @param limit the most requests that this gateway may have in flight there; zero once the lease
 *     has run out
 * @param inFlight requests that this gateway has in flight there
 * @param leaseRemainingMs how long the credits can still be used, zero if they cannot
 */
public record AvailableEndpoint(
        EndpointId endpoint,
        DataCentreId dataCentre,
        NodeId home,
        long incarnation,
        EndpointDescription description,
        EndpointLoad load,
        long loadReceivedMs,
        int startedSinceLoad,
        int limit,
        int inFlight,
        long leaseRemainingMs) {

    /**
     * Returns how many more requests may be started now.
     *
     * @return free credits, at least zero
     */
    public int freeCredits() {
        return Math.max(0, limit - inFlight);
    }
}
