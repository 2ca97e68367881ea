package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.core.id.Identifiers;

/** Shows why a request went where it went. Stateless. */
final class ExplainCommand implements Command {

    @Override
    public List<String> name() {
        return List.of("explain");
    }

    @Override
    public String usage() {
        return "<requestId>";
    }

    @Override
    public String description() {
        return "shows why a request went where it went; ask the node that took it";
    }

    @Override
    public List<String> options() {
        return List.of();
    }

    @Override
    public ExitCode run(List<String> words, CommandContext context) throws CommandException {
        String id = CommandContext.onlyWord(words, "the request id");
        if (!Identifiers.isValid(id)) {
            throw CommandArguments.usage("\"" + id + "\" is not a request id");
        }
        JsonNode answer = context.client().read("/v1/explanations/" + id).body();
        StringBuilder text = new StringBuilder();
        text.append(id).append(" of service ").append(answer.path("service").asText());
        text.append(": ").append(answer.path("outcome").asText());
        for (JsonNode decision : answer.path("decisions")) {
            text.append("\n  ").append(decision.path("at").asText());
            text.append(' ').append(decision.path("action").asText());
            text.append(' ').append(decision.path("endpoint").asText());
            text.append(": ").append(decision.path("reason").asText());
        }
        context.print(answer, text.toString());
        return ExitCode.OK;
    }
}
