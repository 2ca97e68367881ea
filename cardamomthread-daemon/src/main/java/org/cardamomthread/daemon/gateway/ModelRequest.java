package org.cardamomthread.daemon.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.cardamomthread.policy.routing.PromptPrefix;

/**
 * Represents the JSON body of a model call.
 *
 * <p>Members that this node does not use are sent to the endpoint unchanged. Immutable and
 * thread-safe.
 */
final class ModelRequest {

    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int CHARACTERS_PER_BLOCK = 64;
    private static final int TOKENS_PER_BLOCK = CHARACTERS_PER_BLOCK / CHARACTERS_PER_TOKEN;
    private static final int DEFAULT_MAX_OUTPUT_TOKENS = 128;

    private final byte[] body;
    private final ObjectNode document;
    private final String prompt;

    private ModelRequest(byte[] body, ObjectNode document, String prompt) {
        this.body = body;
        this.document = document;
        this.prompt = prompt;
    }

    /**
     * Parses and validates a body.
     *
     * @param body the body as the caller sent it
     * @return the parsed request
     * @throws InvalidRequestException if the body is not UTF-8 or not a JSON object, or if a
     *     required member is missing or of the wrong type
     */
    static ModelRequest parse(byte[] body) throws InvalidRequestException {
        requireUtf8(body);
        JsonNode parsed = parseJson(body);
        if (!(parsed instanceof ObjectNode document)) {
            throw new InvalidRequestException("the body must be one JSON object");
        }
        if (!document.path("model").isTextual()) {
            throw new InvalidRequestException(
                    "member \"model\" must be a string that names a declared service");
        }
        JsonNode stream = document.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            throw new InvalidRequestException("member \"stream\" must be true or false");
        }
        return new ModelRequest(body, document, readPrompt(document));
    }

    /**
     * Returns the name of the requested service.
     *
     * @return the value of the member {@code model}, which may be undeclared
     */
    String getServiceName() {
        return document.path("model").asText();
    }

    /**
     * Returns whether the caller requests a streamed response.
     *
     * @return true if the response is to be sent as server-sent events
     */
    boolean isStreamed() {
        return document.path("stream").asBoolean(false);
    }

    /**
     * Divides the prompt into the blocks in which endpoints cache it.
     *
     * @return the complete blocks of the prompt
     */
    PromptPrefix createPromptPrefix() {
        return PromptPrefix.ofText(prompt, CHARACTERS_PER_BLOCK, TOKENS_PER_BLOCK);
    }

    /**
     * Estimates the length of the prompt from its number of characters.
     *
     * @return the estimated number of tokens, at least 1
     */
    int estimatePromptTokens() {
        return prompt.length() / CHARACTERS_PER_TOKEN + 1;
    }

    /**
     * Estimates the length of the response.
     *
     * @return the caller's {@code max_tokens}, or a default number of tokens if it is missing
     */
    int estimateOutputTokens() {
        return document.path("max_tokens").asInt(DEFAULT_MAX_OUTPUT_TOKENS);
    }

    /**
     * Returns the body to send to an endpoint, which asks it to resume if tokens were delivered.
     *
     * @param progress the part of the response that the caller has already received
     * @return the body in UTF-8
     */
    byte[] createBody(StreamProgress progress) {
        if (progress.getTokenCount() == 0) {
            return body;
        }
        ObjectNode resumed = document.deepCopy();
        ObjectNode resume = resumed.putObject("resume");
        resume.put("text", progress.getText());
        resume.put("tokens", progress.getTokenCount());
        return resumed.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String readPrompt(ObjectNode document) {
        StringBuilder text = new StringBuilder();
        for (JsonNode message : document.path("messages")) {
            text.append(message.path("role").asText()).append(':');
            text.append(message.path("content").asText()).append('\n');
        }
        if (document.path("prompt").isTextual()) {
            text.append(document.path("prompt").asText());
        }
        return text.toString();
    }

    private static JsonNode parseJson(byte[] body) throws InvalidRequestException {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException failure) {
            throw new InvalidRequestException(
                    "the body is not valid JSON at line "
                            + failure.getLocation().getLineNr()
                            + ", column "
                            + failure.getLocation().getColumnNr()
                            + ": "
                            + failure.getOriginalMessage());
        } catch (IOException failure) {
            throw new InvalidRequestException("the body is not valid JSON");
        }
    }

    private static void requireUtf8(byte[] body) throws InvalidRequestException {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body));
        } catch (CharacterCodingException failure) {
            throw new InvalidRequestException("the body must be valid UTF-8");
        }
    }
}
