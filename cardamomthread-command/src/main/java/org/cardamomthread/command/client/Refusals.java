package org.cardamomthread.command.client;

import com.fasterxml.jackson.databind.JsonNode;

/** Writes refusals for people. Stateless and safe for use by several threads. */
final class Refusals {

    private Refusals() {}

    static String describe(OperatorAnswer answer) {
        JsonNode body = answer.body();
        StringBuilder text = new StringBuilder();
        text.append(body.path("detail").asText("status " + answer.status()));
        JsonNode remedy = body.path("remedy");
        if (remedy.isTextual()) {
            text.append("; ").append(remedy.asText());
        }
        for (JsonNode error : body.path("errors")) {
            text.append("\n\"").append(error.path("key").asText()).append("\": ");
            text.append(error.path("detail").asText()).append("; ");
            text.append(error.path("remedy").asText());
        }
        if (body.has("currentRevision")) {
            text.append("\nthe current revision is ").append(body.get("currentRevision").asText());
        }
        for (JsonNode difference : body.path("differences")) {
            text.append('\n').append(difference.asText());
        }
        return text.toString();
    }
}
