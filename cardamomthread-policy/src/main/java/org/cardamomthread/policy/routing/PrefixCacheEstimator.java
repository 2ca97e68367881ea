package org.cardamomthread.policy.routing;

import java.util.List;
import org.cardamomthread.core.id.EndpointId;

/** Estimates which prompt prefixes the endpoints have in their KV caches. */
public interface PrefixCacheEstimator {

    /** Assumes that no prompt is cached and that caches never evict. */
    PrefixCacheEstimator NONE =
            new PrefixCacheEstimator() {
                @Override
                public double estimateCachedTokens(
                        EndpointId endpoint, PromptPrefix prefix, long nowMs) {
                    return 0;
                }

                @Override
                public List<EndpointId> likelyHolders(PromptPrefix prefix, int limit, long nowMs) {
                    return List.of();
                }

                @Override
                public double retentionProbability(EndpointId endpoint, long nowMs) {
                    return 1;
                }
            };

    /**
     * Estimates how many leading tokens of a prompt an endpoint has cached.
     *
     * @param prefix block hashes of the prompt
     * @param nowMs monotonic time, in milliseconds
     * @return expected number of tokens, from zero to the length of the prefix
     */
    double estimateCachedTokens(EndpointId endpoint, PromptPrefix prefix, long nowMs);

    /**
     * Returns the endpoints that probably have the longest part of a prompt cached.
     *
     * @param prefix block hashes of the prompt
     * @param limit maximum number of endpoints to return
     * @param nowMs monotonic time, in milliseconds
     * @return endpoints, the longest cached prefix first
     */
    List<EndpointId> likelyHolders(PromptPrefix prefix, int limit, long nowMs);

    /**
     * Estimates the probability that an endpoint still has a prompt cached when the next call with
     * the same prompt arrives.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return probability, 1 if the endpoint is not known to evict; the shorter its entries live,
     *     the lower
     */
    double retentionProbability(EndpointId endpoint, long nowMs);
}
