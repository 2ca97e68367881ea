package org.cardamomthread.standin.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Computes the deterministic answer to a prompt, so that tests know the expected answer.
 *
 * <p>Stateless and thread-safe.
 */
public final class AnswerText {

    /** Number of tokens in the answer to a request without {@code max_tokens}. */
    public static final int DEFAULT_TOKENS = 16;

    private static final int FOUR_HEX_DIGITS_MASK = 0xffff;

    private AnswerText() {}

    /**
     * Returns one token of the answer to a prompt.
     *
     * @param prompt the prompt
     * @param index index of the token, from 0
     * @return four hexadecimal digits and a space
     */
    public static String token(String prompt, int index) {
        long hash = Hashing.xxh3_64().hashStream().putString(prompt).putInt(index).getAsLong();
        return String.format("%04x ", hash & FOUR_HEX_DIGITS_MASK);
    }

    /**
     * Returns the complete answer to a prompt.
     *
     * @param prompt the prompt
     * @param tokens number of tokens of the answer
     * @return the tokens in order
     */
    public static String completeAnswer(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(prompt, i));
        }
        return text.toString();
    }

    /**
     * Extracts the prompt of a request.
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
     * Returns the number of tokens that a request asks for.
     *
     * @param request the body of a chat or completion call
     * @return {@code max_tokens}, or {@value #DEFAULT_TOKENS}
     */
    public static int tokens(JsonNode request) {
        return request.path("max_tokens").asInt(DEFAULT_TOKENS);
    }
}
