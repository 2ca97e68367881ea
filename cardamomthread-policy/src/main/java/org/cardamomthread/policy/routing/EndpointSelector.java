package org.cardamomthread.policy.routing;

import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;

/** Selects the endpoint for a request. */
public interface EndpointSelector {

    /**
     * Selects an endpoint that has a credit left.
     *
     * @param candidates endpoints to select from
     * @param nowMs monotonic time, in milliseconds
     * @param random source of randomness to break ties
     * @return selected endpoint or a refusal
     */
    Selection select(
            SelectionRequest request,
            Collection<EndpointCandidate> candidates,
            long nowMs,
            RandomGenerator random);

    /**
     * Returns the scores of all candidates that could be selected, best first.
     *
     * @param candidates endpoints to score
     * @param nowMs monotonic time, in milliseconds
     * @return scores of the candidates that serve the requested version, have a credit and are not
     *     excluded
     */
    List<CandidateScore> explain(
            SelectionRequest request, Collection<EndpointCandidate> candidates, long nowMs);
}
