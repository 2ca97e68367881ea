package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Formats the system status as text. Stateless and safe for use by several threads. */
final class StatusFormatter {

    private StatusFormatter() {}

    static String format(JsonNode status) {
        StringBuilder text = new StringBuilder();
        text.append("revision ").append(status.path("revision"));
        text.append(" on node ").append(status.path("node").asText());
        text.append(", digest ").append(status.path("digest").asText()).append('\n');
        List<String> unconfirmed = new ArrayList<>();
        status.path("notConfirmed").forEach(node -> unconfirmed.add(node.asText()));
        text.append("not confirmed: ");
        text.append(unconfirmed.isEmpty() ? "none" : String.join(", ", unconfirmed)).append('\n');
        text.append("data centres:\n");
        status.path("dataCentres").forEach(each -> appendDataCentre(text, each));
        text.append("nodes:\n");
        status.path("nodes").forEach(each -> appendNode(text, each));
        text.append("voters:\n");
        status.path("voters").forEach(each -> appendVoter(text, each));
        text.append("endpoints:\n");
        status.path("endpoints").forEach(each -> appendEndpoint(text, each));
        text.append("version moves:\n");
        status.path("versionMoves")
                .forEach(each -> text.append("  ").append(formatMove(each)).append('\n'));
        return text.toString();
    }

    static String formatMove(JsonNode move) {
        String share = String.format(Locale.ROOT, "%.1f%%", move.path("share").asDouble() * 100);
        String reason = move.path("reason").asText();
        return move.path("id").asText()
                + ": "
                + move.path("service").asText()
                + " "
                + move.path("from").asText()
                + " -> "
                + move.path("to").asText()
                + " "
                + move.path("state").asText()
                + ", step "
                + move.path("step").asText()
                + ", share "
                + share
                + ", by "
                + move.path("by").asText()
                + (reason.isEmpty() ? "" : ": " + reason);
    }

    private static void appendDataCentre(StringBuilder text, JsonNode dataCentre) {
        text.append("  ").append(dataCentre.path("id").asText());
        text.append(' ').append(dataCentre.path("state").asText());
        appendIfFalse(text, dataCentre, "confirmed", ", not confirmed");
        text.append('\n');
    }

    private static void appendNode(StringBuilder text, JsonNode node) {
        text.append("  ").append(node.path("id").asText());
        text.append(" in ").append(node.path("dataCentre").asText());
        text.append(", revision ").append(node.path("revision"));
        appendIfFalse(text, node, "reachable", ", out of reach");
        appendIfFalse(text, node, "confirmed", ", not confirmed");
        text.append('\n');
    }

    private static void appendVoter(StringBuilder text, JsonNode voter) {
        text.append("  ").append(voter.path("group").asText());
        text.append(' ').append(voter.path("id").asText());
        text.append(' ').append(voter.path("role").asText());
        if (voter.path("index").asLong() >= 0) {
            text.append(", index ").append(voter.path("index"));
        }
        appendIfFalse(text, voter, "reachable", ", out of reach");
        text.append('\n');
    }

    private static void appendEndpoint(StringBuilder text, JsonNode endpoint) {
        List<String> versions = new ArrayList<>();
        endpoint.path("versions").forEach(version -> versions.add(version.asText()));
        text.append("  ").append(endpoint.path("id").asText());
        text.append(" in ").append(endpoint.path("dataCentre").asText());
        text.append(' ').append(endpoint.path("state").asText());
        text.append(", home ").append(endpoint.path("home").asText());
        text.append(", ").append(endpoint.path("inFlight"));
        text.append(" of ").append(endpoint.path("bearable")).append(" in flight, ");
        text.append(String.join(" ", versions)).append('\n');
    }

    private static void appendIfFalse(
            StringBuilder text, JsonNode node, String field, String suffix) {
        if (!node.path(field).asBoolean()) {
            text.append(suffix);
        }
    }
}
