package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.cardamomthread.command.client.OperatorResponse;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.core.id.Identifiers;

/** Drains a data centre or returns it to service. Stateless. */
final class DataCentreCommand implements Command {

    /** Status of a change that is active on some nodes but not confirmed. */
    private static final int HTTP_ACCEPTED = 202;

    private final String action;

    /**
     * Creates the command.
     *
     * @param action {@code drain} or {@code return}
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
                : "returns a data centre to service";
    }

    @Override
    public List<String> options() {
        return List.of(CommandArguments.OPERATION_ID);
    }

    @Override
    public ExitCode run(List<String> positionals, CommandContext context) throws CommandException {
        String id = CommandContext.requireSinglePositional(positionals, "the data centre");
        if (!Identifiers.isValid(id)) {
            throw CommandArguments.usageError("\"" + id + "\" is not a valid data centre id");
        }
        String operationId = context.resolveOperationId();
        ObjectNode body = CommandContext.newObjectNode();
        body.put("operationId", operationId);
        OperatorResponse response =
                context.createClient()
                        .post(
                                "/v1/data-centres/" + id + "/" + action,
                                body.toString(),
                                operationId);
        boolean isUnconfirmed = response.status() == HTTP_ACCEPTED;
        context.print(response.body(), describe(id, response.body(), isUnconfirmed));
        return isUnconfirmed ? ExitCode.UNCONFIRMED : ExitCode.OK;
    }

    private static String describe(String id, JsonNode body, boolean isUnconfirmed) {
        String state = "data centre " + id + " is " + body.path("state").asText();
        return isUnconfirmed
                ? state
                        + ", not confirmed: "
                        + body.path("detail").asText()
                        + "; "
                        + body.path("remedy").asText()
                : state + " from revision " + body.path("revision");
    }
}
