package org.cardamomthread.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Holds the parameters of a generation.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model name of the model, which is the service
 * @param prompt the prompt
 * @param promptTokens length of the prompt in tokens
 * @param cachedTokens number of prompt tokens found in the prefix cache
 * @param tokens length of the complete answer in tokens
 * @param resumedTokens number of answer tokens delivered by a previous attempt
 * @param isStreamed whether the answer is sent as server-sent events
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

    /** Returns the number of tokens to compute before the next token of the answer. */
    int computedTokens() {
        return Math.max(0, promptTokens - cachedTokens) + resumedTokens;
    }
}
