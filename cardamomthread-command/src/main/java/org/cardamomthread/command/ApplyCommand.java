package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.command.client.OperatorClient;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.configuration.declaration.Declarations;

/** Puts a folder of declarations in force. Stateless. */
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
        return "puts a folder of declarations in force, against the revision that plan has shown";
    }

    @Override
    public List<String> options() {
        return List.of(CommandArguments.BASE, CommandArguments.OPERATION_ID);
    }

    @Override
    public ExitCode run(List<String> words, CommandContext context) throws CommandException {
        String folder = CommandContext.onlyWord(words, "the folder");
        Declarations wanted = DeclarationFiles.load(folder);
        boolean repeated = context.arguments().has(CommandArguments.OPERATION_ID);
        if (repeated && !context.arguments().has(CommandArguments.BASE)) {
            throw CommandArguments.usage(
                    "--operation-id needs the --base of the change that is repeated");
        }
        OperatorClient client = context.client();
        long base = findBase(context, client);
        String operationId = context.operationId();
        ObjectNode body = CommandContext.object();
        body.put("operationId", operationId);
        body.put("baseRevision", base);
        body.set("declarations", wanted.toTree());
        JsonNode answer =
                client.change(
                                "/v1/configuration/changes",
                                body.toString(),
                                operationId + " --base " + base)
                        .body();
        context.print(answer, "accepted, in force from revision " + answer.path("revision"));
        return ExitCode.OK;
    }

    private static long findBase(CommandContext context, OperatorClient client)
            throws CommandException {
        Optional<String> given = context.arguments().find(CommandArguments.BASE);
        if (given.isEmpty()) {
            return client.read("/v1/configuration").body().path("revision").asLong();
        }
        try {
            return Long.parseUnsignedLong(given.get());
        } catch (NumberFormatException e) {
            throw CommandArguments.usage("--base \"" + given.get() + "\" is not a revision");
        }
    }
}
