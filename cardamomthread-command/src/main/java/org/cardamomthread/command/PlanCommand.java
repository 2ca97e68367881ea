package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.Collectors;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.configuration.declaration.DeclarationChange;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.declaration.DeclarationsDifference;

/** Shows what applying a folder would change. Stateless. */
final class PlanCommand implements Command {

    @Override
    public List<String> name() {
        return List.of("plan");
    }

    @Override
    public String usage() {
        return "<folder>";
    }

    @Override
    public String description() {
        return "shows how a folder of declarations differs from what is in force";
    }

    @Override
    public List<String> options() {
        return List.of();
    }

    @Override
    public ExitCode run(List<String> words, CommandContext context) throws CommandException {
        String folder = CommandContext.onlyWord(words, "the folder");
        Declarations wanted = DeclarationFiles.load(folder);
        JsonNode current = context.client().read("/v1/configuration").body();
        long revision = current.path("revision").asLong();
        List<DeclarationChange> changes =
                DeclarationsDifference.between(DeclarationFiles.ofAnswer(current), wanted);
        ObjectNode tree = CommandContext.object();
        tree.put("revision", revision);
        ArrayNode array = tree.putArray("changes");
        changes.forEach(change -> array.add(change.toString()));
        context.print(tree, describe(changes) + "\nagainst revision " + revision);
        return ExitCode.OK;
    }

    static String describe(List<DeclarationChange> changes) {
        return changes.isEmpty()
                ? "no changes"
                : changes.stream()
                        .map(DeclarationChange::toString)
                        .collect(Collectors.joining("\n"));
    }
}
