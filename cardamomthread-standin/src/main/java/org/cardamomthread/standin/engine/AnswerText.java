package org.cardamomthread.standin.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Computes the answer to a prompt, the same on every engine, so that a test knows it beforehand.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class AnswerText {

    /** Tokens of an answer to a request that states no bound. */
    public static final int DEFAULT_TOKENS = 16;

    private static final int MASK = 0xffff;

    private AnswerText() {}

    /**
     * Returns one token.
     *
     * @param prompt the prompt
     * @param index the token's index from zero
     * @return four digits and a space
     */
    public static String token(String prompt, int index) {
        long hash = Hashing.xxh3_64().hashStream().putString(prompt).putInt(index).getAsLong();
        return String.format("%04x ", hash & MASK);
    }

    /**
     * Returns a whole answer.
     *
     * @param prompt the prompt
     * @param tokens its number of tokens
     * @return the tokens in order
     */
    public static String whole(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(prompt, i));
        }
        return text.toString();
    }

    /**
     * Returns the prompt of a request.
     *
     * @param request the body of a chat or completion call
     * @return the roles and contents of its messages and its prompt as one text
     */
    public static String prompt(JsonNode request) {
        StringBuilder text = new StringBuilder();
        for (JsonNode message : request.path("messages")) {
            text.append(message.path("role").asText()).append(':');
            text.append(message.path("content").asText()).append('\n');
        }
        return text.append(request.path("prompt").asText("")).toString();
    }

    /**
     * Returns the number of tokens of the answer to a request.
     *
     * @param request the body of a chat or completion call
     * @return {@code max_tokens}, or {@value #DEFAULT_TOKENS}
     */
    public static int tokens(JsonNode request) {
        return request.path("max_tokens").asInt(DEFAULT_TOKENS);
    }
}
