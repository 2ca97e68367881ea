package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import java.util.UUID;
import org.cardamomthread.command.client.OperatorClient;
import org.cardamomthread.command.outcome.CommandException;

/**
 * Provides a command with its arguments, output and client.
 *
 * <p>Confined to one thread.
 */
final class CommandContext {

    private final CommandArguments arguments;
    private final PrintStream out;
    private final ClientFactory clientFactory;
    private final Runnable pollDelay;

    /** Creates a client from the arguments, only for commands that call a node. */
    interface ClientFactory {

        OperatorClient create(CommandArguments arguments) throws CommandException;
    }

    CommandContext(
            CommandArguments arguments,
            PrintStream out,
            ClientFactory clientFactory,
            Runnable pollDelay) {
        this.arguments = arguments;
        this.out = out;
        this.clientFactory = clientFactory;
        this.pollDelay = pollDelay;
    }

    CommandArguments arguments() {
        return arguments;
    }

    OperatorClient createClient() throws CommandException {
        return clientFactory.create(arguments);
    }

    /** Returns the operation id of the command line, or a new random one. */
    String resolveOperationId() throws CommandException {
        return arguments
                .findValue(CommandArguments.OPERATION_ID)
                .orElseGet(() -> "op-" + UUID.randomUUID());
    }

    void awaitNextPoll() {
        pollDelay.run();
    }

    /** Prints the tree as JSON or the text, depending on the output option. */
    void print(JsonNode tree, String text) throws CommandException {
        out.println(arguments.isJson() ? tree.toString() : text.stripTrailing());
    }

    static ObjectNode newObjectNode() {
        return JsonNodeFactory.instance.objectNode();
    }

    static String requireSinglePositional(List<String> positionals, String argumentName)
            throws CommandException {
        if (positionals.size() != 1) {
            throw CommandArguments.usageError(
                    "the command takes exactly one argument, "
                            + argumentName
                            + "; got "
                            + positionals.size());
        }
        return positionals.get(0);
    }

    static void requireNoPositionals(List<String> positionals) throws CommandException {
        if (!positionals.isEmpty()) {
            throw CommandArguments.usageError("unexpected argument \"" + positionals.get(0) + "\"");
        }
    }
}
