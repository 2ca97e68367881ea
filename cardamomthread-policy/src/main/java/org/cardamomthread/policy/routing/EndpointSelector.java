package org.cardamomthread.policy.routing;

import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;

/** Chooses the endpoint for a request. */
public interface EndpointSelector {

    /**
     * Chooses an endpoint. Never chooses one without a credit.
     *
     * @param request the request
     * @param candidates the endpoints to choose from
     * @param nowMs monotonic time, in milliseconds
     * @param random source for choices among near equals
     * @return the endpoint or a refusal
     */
    Selection select(
            SelectionRequest request,
            Collection<EndpointCandidate> candidates,
            long nowMs,
            RandomGenerator random);

    /**
     * Judges each candidate that could be chosen, best first.
     *
     * @param request the request
     * @param candidates the endpoints to judge
     * @param nowMs monotonic time, in milliseconds
     * @return the scores of those that serve the version, have a credit and are not excluded
     */
    List<CandidateScore> explain(
            SelectionRequest request, Collection<EndpointCandidate> candidates, long nowMs);
}
