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
 * Holds the body of a model call.
 *
 * <p>Members that this node does not read go to the endpoint unchanged. Immutable and safe for use
 * by several threads.
 */
final class ModelRequest {

    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int CHARACTERS_PER_BLOCK = 64;
    private static final int TOKENS_PER_BLOCK = CHARACTERS_PER_BLOCK / CHARACTERS_PER_TOKEN;
    private static final int DEFAULT_OUTPUT_TOKENS = 128;

    private final byte[] body;
    private final ObjectNode document;
    private final String prompt;

    private ModelRequest(byte[] body, ObjectNode document, String prompt) {
        this.body = body;
        this.document = document;
        this.prompt = prompt;
    }

    /**
     * Reads and checks a body.
     *
     * @param body the body as the caller sent it
     * @return the request
     * @throws InvalidRequestException if it is not UTF-8, not a JSON object, or lacks a member that
     *     this node needs
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
     * Returns the service that the caller names.
     *
     * @return the text of the member {@code model}, not yet checked against the declarations
     */
    String getServiceName() {
        return document.path("model").asText();
    }

    /**
     * Tells whether the caller wants the answer as a stream.
     *
     * @return true for server-sent events
     */
    boolean isStreamed() {
        return document.path("stream").asBoolean(false);
    }

    /**
     * Names the blocks of the prompt as endpoints cache them.
     *
     * @return the whole blocks
     */
    PromptPrefix createPrefix() {
        return PromptPrefix.ofText(prompt, CHARACTERS_PER_BLOCK, TOKENS_PER_BLOCK);
    }

    /**
     * Estimates the length of the prompt.
     *
     * @return tokens
     */
    int estimatePromptTokens() {
        return prompt.length() / CHARACTERS_PER_TOKEN + 1;
    }

    /**
     * Returns how many tokens the answer can have.
     *
     * @return the caller's bound, or a usual length if there is none
     */
    int estimateOutputTokens() {
        return document.path("max_tokens").asInt(DEFAULT_OUTPUT_TOKENS);
    }

    /**
     * Renders the body for an endpoint.
     *
     * @param progress what the caller has received already
     * @return the body in UTF-8
     */
    byte[] createBody(StreamProgress progress) {
        if (progress.getTokens() == 0) {
            return body;
        }
        ObjectNode resumed = document.deepCopy();
        ObjectNode position = resumed.putObject("resume");
        position.put("text", progress.getText());
        position.put("tokens", progress.getTokens());
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
