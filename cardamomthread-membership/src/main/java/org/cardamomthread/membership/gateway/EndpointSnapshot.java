package org.cardamomthread.membership.gateway;

import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.endpoint.EndpointDescription;
import org.cardamomthread.membership.endpoint.EndpointLoad;

/**
 * Represents a snapshot of an endpoint as its home described it to this gateway.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint the id of the endpoint
 * @param dataCentre the data centre where it runs
 * @param home the node that granted the current credits
 * @param incarnation the incarnation of the endpoint that the credits apply to
 * @param description the latest description of the endpoint
 * @param load the latest load that the endpoint reported
 * @param loadReceivedMs the time when this gateway received the load, on the local monotonic clock
 * @param startedSinceLoad the number of requests that this gateway started there since then
 * @param limit the maximum number of requests that this gateway may have in flight there, zero once
 *     the lease has expired
 * @param inFlight the number of requests that this gateway has in flight there
 * @param leaseRemainingMs the milliseconds until the lease expires, zero once it has expired
 */
public record EndpointSnapshot(
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
     * Returns the number of requests that this gateway may start there now.
     *
     * @return the unused credits, at least zero
     */
    public int unusedCredits() {
        return Math.max(0, limit - inFlight);
    }
}
