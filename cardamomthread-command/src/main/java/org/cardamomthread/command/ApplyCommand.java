package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.command.client.OperatorClient;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.configuration.declaration.Declarations;

/** Applies a folder of declarations to the running system. Stateless. */
final class ApplyCommand implements Command {

    @Override
    public List<String> name() {
        return List.of("apply");
    }

    @Override
    public String usage() {
        return "<folder> [--base <revision>] [--operation-id <id>]";
    }

    @Override
    public String description() {
        return "applies a folder of declarations to the revision shown by plan";
    }

    @Override
    public List<String> options() {
        return List.of(CommandArguments.BASE, CommandArguments.OPERATION_ID);
    }

    @Override
    public ExitCode run(List<String> positionals, CommandContext context) throws CommandException {
        String folder = CommandContext.requireSinglePositional(positionals, "the folder");
        Declarations desired = DeclarationReader.load(folder);
        boolean repeated = context.arguments().hasOption(CommandArguments.OPERATION_ID);
        if (repeated && !context.arguments().hasOption(CommandArguments.BASE)) {
            throw CommandArguments.usageError(
                    "--operation-id requires the --base revision of the repeated change");
        }
        OperatorClient client = context.createClient();
        long baseRevision = resolveBaseRevision(context, client);
        String operationId = context.resolveOperationId();
        ObjectNode body = CommandContext.newObjectNode();
        body.put("operationId", operationId);
        body.put("baseRevision", baseRevision);
        body.set("declarations", desired.toTree());
        JsonNode response =
                client.post(
                                "/v1/configuration/changes",
                                body.toString(),
                                operationId + " --base " + baseRevision)
                        .body();
        context.print(response, "accepted, in force from revision " + response.path("revision"));
        return ExitCode.OK;
    }

    private static long resolveBaseRevision(CommandContext context, OperatorClient client)
            throws CommandException {
        Optional<String> baseOption = context.arguments().findValue(CommandArguments.BASE);
        if (baseOption.isEmpty()) {
            return client.get("/v1/configuration").body().path("revision").asLong();
        }
        try {
            return Long.parseUnsignedLong(baseOption.get());
        } catch (NumberFormatException e) {
            throw CommandArguments.usageError(
                    "--base \"" + baseOption.get() + "\" is not a valid revision");
        }
    }
}
