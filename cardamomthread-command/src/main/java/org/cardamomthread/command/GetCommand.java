package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.configuration.document.YamlWriter;

/** Prints the declarations in force. Stateless. */
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
        return "prints the declarations in force, as YAML that apply takes or as JSON";
    }

    @Override
    public List<String> options() {
        return List.of();
    }

    @Override
    public ExitCode run(List<String> words, CommandContext context) throws CommandException {
        CommandContext.requireNoWords(words);
        JsonNode answer = context.client().read("/v1/configuration").body();
        String heading = "# revision " + answer.path("revision") + "\n";
        context.print(answer, heading + YamlWriter.write(answer.path("declarations")));
        return ExitCode.OK;
    }
}
