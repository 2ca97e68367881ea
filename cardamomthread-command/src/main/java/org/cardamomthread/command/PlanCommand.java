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

/** Shows the changes that applying a folder would make. Stateless. */
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
        return "shows how a folder of declarations differs from the current ones";
    }

    @Override
    public List<String> options() {
        return List.of();
    }

    @Override
    public ExitCode run(List<String> positionals, CommandContext context) throws CommandException {
        String folder = CommandContext.requireSinglePositional(positionals, "the folder");
        Declarations desired = DeclarationReader.load(folder);
        JsonNode current = context.createClient().get("/v1/configuration").body();
        long revision = current.path("revision").asLong();
        List<DeclarationChange> changes =
                DeclarationsDifference.between(DeclarationReader.parseResponse(current), desired);
        ObjectNode tree = CommandContext.newObjectNode();
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
