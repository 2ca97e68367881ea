package org.cardamomthread.policy.routing;

import java.util.List;
import org.cardamomthread.core.id.EndpointId;

/** Estimates which prompt prefixes endpoints hold in their caches. */
public interface PrefixKnowledge {

    /** Knows nothing: every prompt counts as uncached. */
    PrefixKnowledge NONE =
            new PrefixKnowledge() {
                @Override
                public double cachedTokens(EndpointId endpoint, PromptPrefix prefix, long nowMs) {
                    return 0;
                }

                @Override
                public List<EndpointId> likelyHolders(PromptPrefix prefix, int most, long nowMs) {
                    return List.of();
                }

                @Override
                public double retention(EndpointId endpoint, long nowMs) {
                    return 1;
                }
            };

    /**
     * Estimates how many leading tokens of a prompt an endpoint holds.
     *
     * @param endpoint the endpoint
     * @param prefix the prompt's blocks
     * @param nowMs monotonic time, in milliseconds
     * @return expected tokens, from zero to the tokens of the prefix
     */
    double cachedTokens(EndpointId endpoint, PromptPrefix prefix, long nowMs);

    /**
     * Returns the endpoints that probably hold the longest part of a prompt.
     *
     * @param prefix the prompt's blocks
     * @param most the most endpoints to return
     * @param nowMs monotonic time, in milliseconds
     * @return endpoints, longest holders first
     */
    List<EndpointId> likelyHolders(PromptPrefix prefix, int most, long nowMs);

    /**
     * Estimates how probably an endpoint still holds a prompt when the next call with it comes.
     *
     * @param endpoint the endpoint
     * @param nowMs monotonic time, in milliseconds
     * @return 1 if its cache has room, towards 0 the sooner it evicts what it stored
     */
    double retention(EndpointId endpoint, long nowMs);
}
