package org.cardamomthread.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Reads and writes JSON. Stateless and thread-safe. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Parses a JSON document.
     *
     * @param bytes the document in UTF-8
     * @return the document, or a missing node if there are no bytes
     * @throws IOException if the document is not valid JSON
     */
    public static JsonNode read(byte[] bytes) throws IOException {
        return MAPPER.readTree(bytes);
    }

    /**
     * Parses a JSON document into a value.
     *
     * @param bytes the document in UTF-8
     * @param type the type of the value
     * @param <T> the type of the value
     * @return the value
     * @throws IOException if the document is not valid JSON or does not match the type
     */
    public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
        return MAPPER.readValue(bytes, type);
    }

    /**
     * Serializes a value to JSON.
     *
     * @param value a JSON node or a serializable value
     * @return the document in UTF-8
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(value + " cannot be serialized to JSON", e);
        }
    }

    /**
     * Creates an empty JSON object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }
}
