package org.cardamomthread.membership.home;

/**
 * Determines the concurrency limit of an endpoint: the number of requests that may be in flight
 * there.
 *
 * <p>The credit ledger asks on every demand and on every tick, and caps the result at the limit
 * that the endpoint announced. Implementations return zero for an endpoint that must not receive
 * new requests, for example because its data centre is drained, its host has a reclaim notice or
 * its version was stopped. They must not block and must be safe for all threads that call the home.
 */
@FunctionalInterface
public interface ConcurrencyLimitPolicy {

    /**
     * Returns the current concurrency limit of an endpoint.
     *
     * @param endpoint the status known to the home
     * @return the maximum number of requests in flight, or zero to admit no new ones
     */
    int concurrencyLimit(HomeEndpointStatus endpoint);
}
