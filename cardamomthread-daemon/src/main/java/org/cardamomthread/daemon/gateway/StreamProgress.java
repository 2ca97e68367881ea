package org.cardamomthread.daemon.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Records what a caller has received of a model's answer, so that another endpoint can go on from
 * there.
 *
 * <p>Used by one thread at a time.
 */
final class StreamProgress {

    private static final String END_MARKER = "[DONE]";
    private static final JsonFactory JSON = new JsonFactory();

    private final StringBuilder text = new StringBuilder();
    private int tokens;
    private boolean ended;

    /**
     * Records one event.
     *
     * @param data the event's data
     * @throws MalformedAnswerException if it is neither the end marker nor JSON, or follows the end
     */
    void record(String data) throws MalformedAnswerException {
        if (ended) {
            throw new MalformedAnswerException("an event follows the end marker");
        }
        if (END_MARKER.equals(data)) {
            ended = true;
            return;
        }
        String content = readContent(data);
        if (content != null && !content.isEmpty()) {
            text.append(content);
            tokens++;
        }
    }

    /**
     * Returns the text that the caller has received.
     *
     * @return the text, in order
     */
    String getText() {
        return text.toString();
    }

    /**
     * Returns the number of tokens that the caller has received.
     *
     * @return tokens
     */
    int getTokens() {
        return tokens;
    }

    /**
     * Tells whether the end marker has come, which alone proves a stream whole.
     *
     * @return true after the end marker
     */
    boolean hasEnded() {
        return ended;
    }

    /** Finds the first "content" or "text" member without building a tree. */
    private static String readContent(String data) throws MalformedAnswerException {
        try (JsonParser parser = JSON.createParser(data)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedAnswerException("an event's data must be one JSON object");
            }
            String content = null;
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (content == null
                        && token == JsonToken.VALUE_STRING
                        && isContentName(parser.currentName())) {
                    content = parser.getText();
                }
            }
            return content;
        } catch (IOException failure) {
            throw new MalformedAnswerException("an event's data is not valid JSON", failure);
        }
    }

    private static boolean isContentName(String name) {
        return "content".equals(name) || "text".equals(name);
    }
}
