package org.cardamomthread.membership.home;

/**
 * Judges how many requests an endpoint bears in flight now.
 *
 * <p>The ledger asks on every demand and never grants more than the endpoint announced, whatever
 * the judgement. An implementation returns zero for an endpoint that must get no new work: its data
 * centre is drained, its host has a reclaim notice, its version was stopped. Implementations answer
 * at once and must be safe for the threads that drive the home.
 */
@FunctionalInterface
public interface BearableRequests {

    /**
     * Judges one endpoint.
     *
     * @param endpoint what the home knows of it
     * @return the most requests in flight, zero for none
     */
    int bearable(EndpointStatus endpoint);
}
