package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.cardamomthread.command.client.OperatorAnswer;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.core.id.Identifiers;

/** Takes a data centre out of service or back. Stateless. */
final class DataCentreCommand implements Command {

    private static final int ACCEPTED_IN_PART = 202;

    private final String action;

    /**
     * Creates the command.
     *
     * @param action drain or return
     */
    DataCentreCommand(String action) {
        this.action = action;
    }

    @Override
    public List<String> name() {
        return List.of("datacenter", action);
    }

    @Override
    public String usage() {
        return "<id> [--operation-id <id>]";
    }

    @Override
    public String description() {
        return action.equals("drain")
                ? "takes a data centre out of service"
                : "takes a data centre back into service";
    }

    @Override
    public List<String> options() {
        return List.of(CommandArguments.OPERATION_ID);
    }

    @Override
    public ExitCode run(List<String> words, CommandContext context) throws CommandException {
        String id = CommandContext.onlyWord(words, "the data centre");
        if (!Identifiers.isValid(id)) {
            throw CommandArguments.usage("\"" + id + "\" is not the id of a data centre");
        }
        String operationId = context.operationId();
        ObjectNode body = CommandContext.object();
        body.put("operationId", operationId);
        OperatorAnswer answer =
                context.client()
                        .change(
                                "/v1/data-centres/" + id + "/" + action,
                                body.toString(),
                                operationId);
        boolean inPart = answer.status() == ACCEPTED_IN_PART;
        context.print(answer.body(), describe(id, answer.body(), inPart));
        return inPart ? ExitCode.UNCONFIRMED : ExitCode.OK;
    }

    private static String describe(String id, JsonNode body, boolean inPart) {
        String state = "data centre " + id + " is " + body.path("state").asText();
        return inPart
                ? state
                        + ", not confirmed: "
                        + body.path("detail").asText()
                        + "; "
                        + body.path("remedy").asText()
                : state + " from revision " + body.path("revision");
    }
}
