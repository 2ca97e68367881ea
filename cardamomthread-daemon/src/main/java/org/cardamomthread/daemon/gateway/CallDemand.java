package org.cardamomthread.daemon.gateway;

/**
 * Says what an endpoint has to do for a call. Immutable.
 *
 * @param prompt the prompt of a model call, empty for others
 * @param promptTokens estimated tokens to read
 * @param outputTokens estimated tokens to generate
 */
record CallDemand(String prompt, int promptTokens, int outputTokens) {

    /** What a call of a plain service asks for. */
    static final CallDemand PLAIN = new CallDemand("", 0, 0);

    static CallDemand of(ModelRequest request) {
        return new CallDemand(
                request.getPrompt(),
                request.estimatePromptTokens(),
                request.estimateOutputTokens());
    }
}
