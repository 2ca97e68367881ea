package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;

/** Starts a version move. Stateless. */
final class VersionMoveCommand implements Command {

    @Override
    public List<String> name() {
        return List.of("version", "move");
    }

    @Override
    public String usage() {
        return "--service <id> --to <version> --by <time> [--operation-id <id>]";
    }

    @Override
    public String description() {
        return "moves a service to another version by a deadline, or takes the move back";
    }

    @Override
    public List<String> options() {
        return List.of(
                CommandArguments.SERVICE,
                CommandArguments.TO,
                CommandArguments.BY,
                CommandArguments.OPERATION_ID);
    }

    @Override
    public ExitCode run(List<String> words, CommandContext context) throws CommandException {
        CommandContext.requireNoWords(words);
        String operationId = context.operationId();
        ObjectNode body = CommandContext.object();
        body.put("operationId", operationId);
        body.put("service", context.arguments().require(CommandArguments.SERVICE));
        body.put("to", context.arguments().require(CommandArguments.TO));
        body.put("by", context.arguments().require(CommandArguments.BY));
        JsonNode answer =
                context.client().change("/v1/version-moves", body.toString(), operationId).body();
        context.print(
                answer,
                "started move "
                        + answer.path("id").asText()
                        + "; see cardamomthread status --watch");
        return ExitCode.OK;
    }
}
