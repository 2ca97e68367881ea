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
 * Gives a command its arguments, output and client.
 *
 * <p>Confined to one thread.
 */
final class CommandContext {

    private final CommandArguments arguments;
    private final PrintStream out;
    private final ClientFactory clients;
    private final Runnable watchPause;

    /** Makes the client from the arguments, when a command needs it. */
    interface ClientFactory {

        OperatorClient create(CommandArguments arguments) throws CommandException;
    }

    CommandContext(
            CommandArguments arguments,
            PrintStream out,
            ClientFactory clients,
            Runnable watchPause) {
        this.arguments = arguments;
        this.out = out;
        this.clients = clients;
        this.watchPause = watchPause;
    }

    CommandArguments arguments() {
        return arguments;
    }

    OperatorClient client() throws CommandException {
        return clients.create(arguments);
    }

    /** Returns the operation id given, or a new one. */
    String operationId() throws CommandException {
        return arguments
                .find(CommandArguments.OPERATION_ID)
                .orElseGet(() -> "op-" + UUID.randomUUID());
    }

    void pause() {
        watchPause.run();
    }

    /** Prints the tree or the text, whichever form was asked for. */
    void print(JsonNode tree, String text) throws CommandException {
        out.println(arguments.isJson() ? tree.toString() : text.stripTrailing());
    }

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    static String onlyWord(List<String> words, String meaning) throws CommandException {
        if (words.size() != 1) {
            throw CommandArguments.usage(
                    "the command takes one word, " + meaning + ", and got " + words.size());
        }
        return words.get(0);
    }

    static void requireNoWords(List<String> words) throws CommandException {
        if (!words.isEmpty()) {
            throw CommandArguments.usage("the word \"" + words.get(0) + "\" is not expected");
        }
    }
}
