package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.cardamomthread.command.logs.LogLine;
import org.cardamomthread.command.logs.RequestTimeline;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.core.id.Identifiers;

/**
 * Shows the routing decisions for a request, as recorded by a node or in collected logs. Stateless.
 */
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
        return "shows the routing decisions for a request; ask the receiving node, or pass the"
                + " logs of all nodes";
    }

    @Override
    public List<String> options() {
        return List.of(CommandArguments.LOGS);
    }

    @Override
    public ExitCode run(List<String> positionals, CommandContext context) throws CommandException {
        String id = CommandContext.requireSinglePositional(positionals, "the request id");
        if (!Identifiers.isValid(id)) {
            throw CommandArguments.usageError("\"" + id + "\" is not a valid request id");
        }
        List<Path> logs = context.arguments().pathValues(CommandArguments.LOGS);
        if (!logs.isEmpty()) {
            return explainFromLogs(id, logs, context);
        }
        JsonNode response = context.createClient().get("/v1/explanations/" + id).body();
        StringBuilder text = new StringBuilder();
        text.append(id).append(" of service ").append(response.path("service").asText());
        text.append(": ").append(response.path("outcome").asText());
        for (JsonNode decision : response.path("decisions")) {
            text.append("\n  ").append(decision.path("at").asText());
            text.append(' ').append(decision.path("action").asText());
            text.append(' ').append(decision.path("endpoint").asText());
            text.append(": ").append(decision.path("reason").asText());
        }
        context.print(response, text.toString());
        return ExitCode.OK;
    }

    private static ExitCode explainFromLogs(String id, List<Path> logs, CommandContext context)
            throws CommandException {
        RequestTimeline timeline;
        try {
            timeline = RequestTimeline.collect(id, logs);
        } catch (IOException e) {
            throw CommandArguments.usageError("cannot read a log file: " + e);
        }
        if (timeline.lines().isEmpty()) {
            throw new CommandException(
                    ExitCode.REJECTED,
                    "no log line contains request \""
                            + id
                            + "\"; pass the logs of all gateways ("
                            + timeline.unreadableLineCount()
                            + " lines could not be read)");
        }
        ObjectNode tree = CommandContext.newObjectNode();
        tree.put("request", id);
        tree.put("unreadableLines", timeline.unreadableLineCount());
        StringBuilder text = new StringBuilder("request ").append(id);
        for (LogLine line : timeline.lines()) {
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
