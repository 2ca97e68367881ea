package org.cardamomthread.daemon.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Records the part of a model's response that a caller has received, so that another endpoint can
 * resume after it.
 *
 * <p>Not thread-safe: used by one thread at a time.
 */
final class StreamProgress {

    private static final String END_MARKER = "[DONE]";
    private static final JsonFactory JSON = new JsonFactory();

    private final StringBuilder text = new StringBuilder();
    private int tokenCount;
    private boolean complete;

    /**
     * Records one event.
     *
     * @param data the data of the event
     * @throws MalformedResponseException if the data is neither the end marker nor a JSON object,
     *     or if the event follows the end marker
     */
    void record(String data) throws MalformedResponseException {
        if (complete) {
            throw new MalformedResponseException("the endpoint sent an event after the end marker");
        }
        if (END_MARKER.equals(data)) {
            complete = true;
            return;
        }
        String content = readContent(data);
        if (content != null && !content.isEmpty()) {
            text.append(content);
            tokenCount++;
        }
    }

    /**
     * Returns the text that the caller has received.
     *
     * @return the concatenated text of all recorded events
     */
    String getText() {
        return text.toString();
    }

    /**
     * Returns the number of tokens that the caller has received.
     *
     * @return the number of events with text
     */
    int getTokenCount() {
        return tokenCount;
    }

    /**
     * Returns whether the end marker was received. Without it a stream must not be considered
     * complete.
     *
     * @return true after the end marker
     */
    boolean isComplete() {
        return complete;
    }

    /** Returns the first "content" or "text" value without building a tree, or null. */
    private static String readContent(String data) throws MalformedResponseException {
        try (JsonParser parser = JSON.createParser(data)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedResponseException("an event's data must be one JSON object");
            }
            String content = null;
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (content == null
                        && token == JsonToken.VALUE_STRING
                        && isContentField(parser.currentName())) {
                    content = parser.getText();
                }
            }
            return content;
        } catch (IOException failure) {
            throw new MalformedResponseException("an event's data is not valid JSON", failure);
        }
    }

    private static boolean isContentField(String name) {
        return "content".equals(name) || "text".equals(name);
    }
}
