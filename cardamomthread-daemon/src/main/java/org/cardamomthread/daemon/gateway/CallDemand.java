package org.cardamomthread.daemon.gateway;

import org.cardamomthread.policy.routing.PromptPrefix;

/**
 * Says what an endpoint has to do for a call. Immutable.
 *
 * @param prefix the blocks of a model call's prompt, empty for others
 * @param promptTokens estimated tokens to read
 * @param outputTokens estimated tokens to generate
 */
record CallDemand(PromptPrefix prefix, int promptTokens, int outputTokens) {

    /** What a call of a plain service asks for. */
    static final CallDemand PLAIN = new CallDemand(PromptPrefix.EMPTY, 0, 0);

    static CallDemand of(ModelRequest request) {
        return new CallDemand(
                request.createPrefix(),
                request.estimatePromptTokens(),
                request.estimateOutputTokens());
    }
}
