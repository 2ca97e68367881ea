package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;

/** Starts moving a service to another version. Stateless. */
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
        return "moves a service to another version by a deadline, or rolls the move back";
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
    public ExitCode run(List<String> positionals, CommandContext context) throws CommandException {
        CommandContext.requireNoPositionals(positionals);
        String operationId = context.resolveOperationId();
        ObjectNode body = CommandContext.newObjectNode();
        body.put("operationId", operationId);
        body.put("service", context.arguments().requireValue(CommandArguments.SERVICE));
        body.put("to", context.arguments().requireValue(CommandArguments.TO));
        body.put("by", context.arguments().requireValue(CommandArguments.BY));
        JsonNode response =
                context.createClient()
                        .post("/v1/version-moves", body.toString(), operationId)
                        .body();
        context.print(
                response,
                "started move "
                        + response.path("id").asText()
                        + "; see cardamomthread status --watch");
        return ExitCode.OK;
    }
}
