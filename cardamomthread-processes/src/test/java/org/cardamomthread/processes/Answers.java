package org.cardamomthread.processes;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.cardamomthread.standin.engine.AnswerText;

/** Builds model calls and reads their answers. Stateless and safe for use by several threads. */
final class Answers {

    static final String CHAT = "/v1/chat/completions";

    private static final String DATA = "data: ";

    private Answers() {}

    static String chat(String question, int tokens, boolean isStreamed) {
        return String.format(
                "{\"model\":\"chat\",\"max_tokens\":%d,\"stream\":%b,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
                tokens, isStreamed, question);
    }

    static String expected(String question, int tokens) {
        return AnswerText.whole("user:" + question + "\n", tokens);
    }

    /** Returns the text of a stream that is complete, or fails. */
    static String completeStream(String events) throws IOException {
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
            if (line.startsWith(DATA + "{")) {
                JsonNode chunk = Calls.json(line.substring(DATA.length()));
                text.append(chunk.at("/choices/0/delta/content").asText());
            }
        }
        return text.toString();
    }

    static String wholeText(String body) throws IOException {
        return Calls.json(body).at("/choices/0/message/content").asText();
    }
}
