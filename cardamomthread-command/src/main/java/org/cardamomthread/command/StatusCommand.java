package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cardamomthread.command.client.OperatorClient;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;

/** Shows the state of the system as seen by one node. Stateless. */
final class StatusCommand implements Command {

    private static final String STATUS_PATH = "/v1/status";

    @Override
    public List<String> name() {
        return List.of("status");
    }

    @Override
    public String usage() {
        return "[--watch]";
    }

    @Override
    public String description() {
        return "shows nodes, endpoints, voters, data centres and version moves";
    }

    @Override
    public List<String> options() {
        return List.of(CommandArguments.WATCH);
    }

    @Override
    public ExitCode run(List<String> positionals, CommandContext context) throws CommandException {
        CommandContext.requireNoPositionals(positionals);
        OperatorClient client = context.createClient();
        JsonNode status = client.get(STATUS_PATH).body();
        if (!context.arguments().hasOption(CommandArguments.WATCH)) {
            context.print(status, StatusFormatter.format(status));
            return ExitCode.OK;
        }
        return watch(client, status, context);
    }

    /** Prints each progress change of the currently running version moves until all have ended. */
    private static ExitCode watch(
            OperatorClient client, JsonNode initialStatus, CommandContext context)
            throws CommandException {
        Set<String> watchedIds = new HashSet<>();
        for (JsonNode move : initialStatus.path("versionMoves")) {
            if (isRunning(move)) {
                watchedIds.add(move.path("id").asText());
            }
        }
        Set<String> printedTexts = new HashSet<>();
        boolean anyRolledBack = false;
        JsonNode status = initialStatus;
        while (true) {
            boolean anyRunning = false;
            for (JsonNode move : status.path("versionMoves")) {
                if (!watchedIds.contains(move.path("id").asText())) {
                    continue;
                }
                String text = StatusFormatter.formatMove(move);
                if (printedTexts.add(text)) {
                    context.print(move, text);
                }
                anyRunning |= isRunning(move);
                anyRolledBack |= "taken-back".equals(move.path("state").asText());
            }
            if (!anyRunning) {
                return anyRolledBack ? ExitCode.ROLLED_BACK : ExitCode.OK;
            }
            context.awaitNextPoll();
            status = client.get(STATUS_PATH).body();
        }
    }

    private static boolean isRunning(JsonNode move) {
        return "running".equals(move.path("state").asText());
    }
}
