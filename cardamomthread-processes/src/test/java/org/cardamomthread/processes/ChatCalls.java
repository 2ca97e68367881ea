package org.cardamomthread.processes;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.cardamomthread.standin.engine.AnswerText;

/**
 * Builds chat completion requests and parses their responses. Stateless and safe for use by several
 * threads.
 */
final class ChatCalls {

    static final String CHAT_PATH = "/v1/chat/completions";

    private static final String DATA_PREFIX = "data: ";

    private ChatCalls() {}

    static String chat(String question, int tokens, boolean isStreamed) {
        return String.format(
                "{\"model\":\"chat\",\"max_tokens\":%d,\"stream\":%b,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
                tokens, isStreamed, question);
    }

    static String expectedText(String question, int tokens) {
        return AnswerText.completeAnswer("user:" + question + "\n", tokens);
    }

    /** Returns the text of a stream; fails if the stream has no end marker. */
    static String requireCompleteStream(String events) throws IOException {
        if (!isComplete(events)) {
            throw new AssertionError("the stream has no end marker: " + events);
        }
        return streamedText(events);
    }

    static boolean isComplete(String events) {
        return events.trim().endsWith("[DONE]");
    }

    static String streamedText(String events) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String line : events.split("\n")) {
            if (line.startsWith(DATA_PREFIX + "{")) {
                JsonNode chunk = HttpCalls.json(line.substring(DATA_PREFIX.length()));
                text.append(chunk.at("/choices/0/delta/content").asText());
            }
        }
        return text.toString();
    }

    static String messageText(String body) throws IOException {
        return HttpCalls.json(body).at("/choices/0/message/content").asText();
    }
}
