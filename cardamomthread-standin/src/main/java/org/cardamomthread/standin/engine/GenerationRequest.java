package org.cardamomthread.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Holds what a caller asks an engine for.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param model the service
 * @param prompt the prompt
 * @param promptTokens length of the prompt
 * @param cachedTokens part of it that is in the cache
 * @param tokens length of the answer
 * @param resumedTokens part of it that was delivered before
 * @param isStreamed whether tokens are sent one by one
 */
record GenerationRequest(
        String model,
        String prompt,
        int promptTokens,
        int cachedTokens,
        int tokens,
        int resumedTokens,
        boolean isStreamed) {

    static final int CHARACTERS_PER_TOKEN = PrefixCache.BLOCK_CHARACTERS / PrefixCache.BLOCK_TOKENS;

    static GenerationRequest of(JsonNode body, int cachedTokens) {
        String prompt = AnswerText.prompt(body);
        return new GenerationRequest(
                body.path("model").asText(),
                prompt,
                prompt.length() / CHARACTERS_PER_TOKEN + 1,
                cachedTokens,
                AnswerText.tokens(body),
                body.path("resume").path("tokens").asInt(0),
                body.path("stream").asBoolean(false));
    }

    /** Returns the tokens that are computed before the next one of the answer. */
    int computedTokens() {
        return Math.max(0, promptTokens - cachedTokens) + resumedTokens;
    }
}
