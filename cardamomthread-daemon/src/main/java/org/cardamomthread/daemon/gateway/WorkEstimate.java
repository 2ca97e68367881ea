package org.cardamomthread.daemon.gateway;

import org.cardamomthread.policy.routing.PromptPrefix;

/**
 * Estimates the work that a call causes on an endpoint. Immutable.
 *
 * @param prefix the blocks of a model call's prompt; empty for plain services
 * @param promptTokens estimated number of prompt tokens
 * @param outputTokens estimated number of tokens to generate
 */
record WorkEstimate(PromptPrefix prefix, int promptTokens, int outputTokens) {

    /** The estimate for any call of a plain service, whose work is not measured in tokens. */
    static final WorkEstimate PLAIN = new WorkEstimate(PromptPrefix.EMPTY, 0, 0);

    static WorkEstimate of(ModelRequest request) {
        return new WorkEstimate(
                request.createPromptPrefix(),
                request.estimatePromptTokens(),
                request.estimateOutputTokens());
    }
}
