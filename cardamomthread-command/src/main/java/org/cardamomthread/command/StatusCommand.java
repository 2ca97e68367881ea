package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cardamomthread.command.client.OperatorClient;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;

/** Shows the system as one node knows it. Stateless. */
final class StatusCommand implements Command {

    private static final String PATH = "/v1/status";

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
    public ExitCode run(List<String> words, CommandContext context) throws CommandException {
        CommandContext.requireNoWords(words);
        OperatorClient client = context.client();
        JsonNode status = client.read(PATH).body();
        if (!context.arguments().has(CommandArguments.WATCH)) {
            context.print(status, StatusText.describe(status));
            return ExitCode.OK;
        }
        return watch(client, status, context);
    }

    /** Prints each change of the moves that run now until all of them have ended. */
    private static ExitCode watch(OperatorClient client, JsonNode first, CommandContext context)
            throws CommandException {
        Set<String> watched = new HashSet<>();
        for (JsonNode move : first.path("versionMoves")) {
            if (isRunning(move)) {
                watched.add(move.path("id").asText());
            }
        }
        Set<String> printed = new HashSet<>();
        boolean takenBack = false;
        JsonNode status = first;
        while (true) {
            boolean running = false;
            for (JsonNode move : status.path("versionMoves")) {
                if (!watched.contains(move.path("id").asText())) {
                    continue;
                }
                String text = StatusText.describeMove(move);
                if (printed.add(text)) {
                    context.print(move, text);
                }
                running |= isRunning(move);
                takenBack |= "taken-back".equals(move.path("state").asText());
            }
            if (!running) {
                return takenBack ? ExitCode.TAKEN_BACK : ExitCode.OK;
            }
            context.pause();
            status = client.read(PATH).body();
        }
    }

    private static boolean isRunning(JsonNode move) {
        return "running".equals(move.path("state").asText());
    }
}
