package org.cardamomthread.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Reads and writes JSON. Stateless and safe for use by several threads. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Reads a document.
     *
     * @param bytes UTF-8
     * @return the document, a missing node if there are no bytes
     * @throws IOException if it is not valid
     */
    public static JsonNode read(byte[] bytes) throws IOException {
        return MAPPER.readTree(bytes);
    }

    /**
     * Reads a document as a value.
     *
     * @param bytes UTF-8
     * @param type the type of the value
     * @param <T> the type of the value
     * @return the value
     * @throws IOException if it is not valid or does not fit the type
     */
    public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
        return MAPPER.readValue(bytes, type);
    }

    /**
     * Writes a value.
     *
     * @param value a node or a value type
     * @return UTF-8
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(value + " must be writable as JSON", e);
        }
    }

    /**
     * Creates an object without members.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }
}
