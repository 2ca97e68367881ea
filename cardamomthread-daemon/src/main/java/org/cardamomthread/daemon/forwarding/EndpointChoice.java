package org.cardamomthread.daemon.forwarding;

/**
 * Holds an endpoint that was chosen for an attempt, with what is expected there. Immutable.
 *
 * @param state the endpoint
 * @param tokensToRead prompt tokens that it probably does not hold, 0 for plain services
 * @param expectedMs expected time to the first token, in milliseconds, 0 for plain services
 * @param delayMs the part of it that others' requests cause, in milliseconds
 * @param costMs the expected time with the cost of reading common parts again, in milliseconds
 * @param isCacheKnown whether the endpoint was sent the shared parts of the prompt before
 */
record EndpointChoice(
        EndpointState state,
        double tokensToRead,
        double expectedMs,
        double delayMs,
        double costMs,
        boolean isCacheKnown) {

    /** Describes a choice in which the prompt plays no part. */
    static EndpointChoice ofPlain(EndpointState state) {
        return new EndpointChoice(state, 0, 0, 0, 0, false);
    }
}
