package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.configuration.document.YamlWriter;

/** Prints the current declarations. Stateless. */
final class GetCommand implements Command {

    @Override
    public List<String> name() {
        return List.of("get");
    }

    @Override
    public String usage() {
        return "";
    }

    @Override
    public String description() {
        return "prints the current declarations, as YAML accepted by apply or as JSON";
    }

    @Override
    public List<String> options() {
        return List.of();
    }

    @Override
    public ExitCode run(List<String> positionals, CommandContext context) throws CommandException {
        CommandContext.requireNoPositionals(positionals);
        JsonNode response = context.createClient().get("/v1/configuration").body();
        String heading = "# revision " + response.path("revision") + "\n";
        context.print(response, heading + YamlWriter.write(response.path("declarations")));
        return ExitCode.OK;
    }
}
