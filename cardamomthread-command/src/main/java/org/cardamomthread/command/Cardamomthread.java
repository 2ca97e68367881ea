package org.cardamomthread.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import org.cardamomthread.command.client.AsyncHttpTransport;
import org.cardamomthread.command.client.OperatorClient;
import org.cardamomthread.command.client.OperatorTransport;
import org.cardamomthread.command.outcome.CommandException;

/** Entry point of the operators' command line tool. */
public final class Cardamomthread {

    private static final long WATCH_POLL_INTERVAL_MS = 1_000;
    private static final Pattern TOKEN_PATTERN = Pattern.compile("[!-~]+");

    private Cardamomthread() {}

    /**
     * Runs the command and exits the process with its exit code.
     *
     * @param arguments the command line arguments
     */
    public static void main(String[] arguments) {
        CommandRunner runner =
                new CommandRunner(
                        System.out,
                        System.err,
                        Cardamomthread::createClient,
                        () -> sleep(WATCH_POLL_INTERVAL_MS));
        System.exit(runner.run(arguments).number());
    }

    private static OperatorClient createClient(CommandArguments arguments) throws CommandException {
        String token = readToken(arguments.requireValue(CommandArguments.TOKEN_FILE));
        OperatorTransport transport = new AsyncHttpTransport(token);
        Runtime.getRuntime().addShutdownHook(new Thread(transport::close));
        return new OperatorClient(arguments.servers(), transport, Cardamomthread::sleep);
    }

    static String readToken(String file) throws CommandException {
        try {
            String token = Files.readString(Path.of(file)).strip();
            if (TOKEN_PATTERN.matcher(token).matches()) {
                return token;
            }
            throw CommandArguments.usageError(
                    "the token file \"" + file + "\" must contain a single line without spaces");
        } catch (IOException e) {
            throw CommandArguments.usageError(
                    "the token file \"" + file + "\" is missing or unreadable");
        }
    }

    private static void sleep(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
