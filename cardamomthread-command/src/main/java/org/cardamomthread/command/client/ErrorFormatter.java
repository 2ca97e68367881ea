package org.cardamomthread.command.client;

import com.fasterxml.jackson.databind.JsonNode;

/** Formats error responses as text. Stateless and safe for use by several threads. */
final class ErrorFormatter {

    private ErrorFormatter() {}

    static String format(OperatorResponse response) {
        JsonNode body = response.body();
        StringBuilder text = new StringBuilder();
        text.append(body.path("detail").asText("status " + response.status()));
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
