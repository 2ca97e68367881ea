package org.cardamomthread.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.util.Iterator;
import java.util.Set;
import java.util.function.Function;
import org.cardamomthread.core.id.OperationId;

/**
 * Reads and validates the members of a JSON request body.
 *
 * <p>Unknown members are rejected, so that a misspelt one is not silently ignored. Not thread-safe.
 */
final class RequestBody {

    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private final JsonNode root;

    private RequestBody(JsonNode root) {
        this.root = root;
    }

    static RequestBody parse(String text, Set<String> members)
            throws InvalidOperatorRequestException {
        JsonNode root = parseJson(text);
        if (!root.isObject()) {
            throw new InvalidOperatorRequestException(
                    "the body is not a JSON object", "send an object with " + members);
        }
        Iterator<String> names = root.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!members.contains(name)) {
                throw new InvalidOperatorRequestException(
                        "member \"" + name + "\" is unknown", "remove it or use one of " + members);
            }
        }
        return new RequestBody(root);
    }

    private static JsonNode parseJson(String text) throws InvalidOperatorRequestException {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new InvalidOperatorRequestException(
                    "the body is not JSON: " + e.getOriginalMessage(), "send a JSON object");
        }
    }

    OperationId readOperationId() throws InvalidOperatorRequestException {
        return readId("operationId", OperationId::new);
    }

    <T> T readId(String member, Function<String, T> constructor)
            throws InvalidOperatorRequestException {
        JsonNode value = root.path(member);
        if (!value.isTextual()) {
            throw new InvalidOperatorRequestException(
                    "member \"" + member + "\" is missing or not a string",
                    "send an id as a string");
        }
        try {
            return constructor.apply(value.asText());
        } catch (IllegalArgumentException e) {
            throw new InvalidOperatorRequestException(e.getMessage(), "send an id of this form");
        }
    }

    long readRevision(String member) throws InvalidOperatorRequestException {
        JsonNode value = root.path(member);
        if (!value.canConvertToLong() || !value.isIntegralNumber() || value.asLong() < 0) {
            throw new InvalidOperatorRequestException(
                    "member \"" + member + "\" is missing or not a revision",
                    "send the revision that GET /v1/configuration has returned");
        }
        return value.asLong();
    }

    Instant readInstant(String member) throws InvalidOperatorRequestException {
        try {
            return OffsetDateTime.parse(root.path(member).asText()).toInstant();
        } catch (DateTimeException e) {
            throw new InvalidOperatorRequestException(
                    "member \"" + member + "\" is missing or not a time",
                    "send an RFC 3339 time such as 2027-01-31T18:00:00Z");
        }
    }

    JsonNode readObject(String member) throws InvalidOperatorRequestException {
        JsonNode value = root.path(member);
        if (!value.isObject()) {
            throw new InvalidOperatorRequestException(
                    "member \"" + member + "\" is missing or not an object",
                    "send it as a JSON object");
        }
        return value;
    }
}
