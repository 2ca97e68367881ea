package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.cardamomthread.command.logs.LogLine;
import org.cardamomthread.command.logs.RequestStory;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.core.id.Identifiers;

/** Shows why a request went where it went, by a node's memory or by collected logs. Stateless. */
final class ExplainCommand implements Command {

    @Override
    public List<String> name() {
        return List.of("explain");
    }

    @Override
    public String usage() {
        return "<requestId> [--logs <file>]...";
    }

    @Override
    public String description() {
        return "shows why a request went where it went; ask the node that took it, or name the"
                + " logs of all nodes";
    }

    @Override
    public List<String> options() {
        return List.of(CommandArguments.LOGS);
    }

    @Override
    public ExitCode run(List<String> words, CommandContext context) throws CommandException {
        String id = CommandContext.onlyWord(words, "the request id");
        if (!Identifiers.isValid(id)) {
            throw CommandArguments.usage("\"" + id + "\" is not a request id");
        }
        List<Path> logs = context.arguments().files(CommandArguments.LOGS);
        if (!logs.isEmpty()) {
            return readLogs(id, logs, context);
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

    private static ExitCode readLogs(String id, List<Path> logs, CommandContext context)
            throws CommandException {
        RequestStory story;
        try {
            story = RequestStory.collect(id, logs);
        } catch (IOException e) {
            throw CommandArguments.usage("a log cannot be read: " + e);
        }
        if (story.lines().isEmpty()) {
            throw new CommandException(
                    ExitCode.REJECTED,
                    "no line of the logs names request \""
                            + id
                            + "\"; give the logs of all gateways ("
                            + story.unreadable()
                            + " lines could not be read)");
        }
        ObjectNode tree = CommandContext.object();
        tree.put("request", id);
        tree.put("unreadableLines", story.unreadable());
        StringBuilder text = new StringBuilder("request ").append(id);
        for (LogLine line : story.lines()) {
            ObjectNode entry = tree.withArray("lines").addObject();
            entry.put("time", line.time().toString());
            entry.put("file", line.file().toString());
            entry.put("event", line.event());
            text.append("\n  ").append(line.time()).append(' ').append(line.file().getFileName());
            text.append(' ').append(line.event());
            line.fields()
                    .forEach(
                            (name, value) -> {
                                entry.put(name, value);
                                text.append(' ').append(name).append('=').append(value);
                            });
        }
        context.print(tree, text.toString());
        return ExitCode.OK;
    }
}
