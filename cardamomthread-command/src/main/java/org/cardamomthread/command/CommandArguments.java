package org.cardamomthread.command;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.configuration.document.NetworkAddress;

/**
 * The parsed command line.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class CommandArguments {

    static final String BASE = "base";
    static final String BY = "by";
    static final String HELP = "help";
    static final String LOGS = "logs";
    static final String OPERATION_ID = "operation-id";
    static final String OUTPUT = "output";
    static final String SERVER = "server";
    static final String SERVICE = "service";
    static final String SETTINGS = "settings";
    static final String TO = "to";
    static final String TOKEN_FILE = "token-file";
    static final String VERSION = "version";
    static final String WATCH = "watch";

    private final CommandLine commandLine;

    private CommandArguments(CommandLine commandLine) {
        this.commandLine = commandLine;
    }

    static CommandArguments parse(String[] arguments) throws CommandException {
        try {
            return new CommandArguments(new DefaultParser(false).parse(options(), arguments));
        } catch (ParseException e) {
            throw usageError(e.getMessage());
        }
    }

    static Options options() {
        Options options = new Options();
        add(options, "h", HELP, null, "prints this help");
        add(options, null, VERSION, null, "prints the version");
        add(options, "o", OUTPUT, "json|text", "output format, text by default");
        add(options, null, SERVER, "host:port", "operator address of a node, may be repeated");
        add(options, null, TOKEN_FILE, "file", "file that contains the operator's token");
        add(options, null, LOGS, "file", "log file of a node, may be repeated");
        add(options, null, SETTINGS, "file", "settings file to validate");
        add(options, null, BASE, "revision", "revision that the change is based on");
        add(options, null, OPERATION_ID, "id", "repeats the change with this id");
        add(options, null, SERVICE, "id", "service to move");
        add(options, null, TO, "version", "version to move to");
        add(options, null, BY, "time", "deadline of the move, such as 2027-01-31T18:00:00Z");
        add(options, null, WATCH, null, "prints progress until version moves have ended");
        return options;
    }

    private static void add(
            Options options,
            String shortName,
            String longName,
            String argumentName,
            String description) {
        Option.Builder builder = Option.builder(shortName).longOpt(longName).desc(description);
        if (argumentName != null) {
            builder.hasArg().argName(argumentName);
        }
        options.addOption(builder.get());
    }

    /** Returns the positional arguments, including the words of the command name. */
    List<String> positionalArguments() {
        return commandLine.getArgList();
    }

    boolean hasOption(String option) {
        return commandLine.hasOption(option);
    }

    Optional<String> findValue(String option) throws CommandException {
        String[] values = commandLine.getOptionValues(option);
        if (values != null && values.length > 1) {
            throw usageError("--" + option + " is given more than once");
        }
        return Optional.ofNullable(commandLine.getOptionValue(option));
    }

    String requireValue(String option) throws CommandException {
        return findValue(option).orElseThrow(() -> usageError("--" + option + " is missing"));
    }

    /** Returns the long names of the options on the command line. */
    List<String> givenOptions() {
        List<String> names = new ArrayList<>();
        for (Option option : commandLine.getOptions()) {
            names.add(option.getLongOpt());
        }
        return names;
    }

    List<NetworkAddress> servers() throws CommandException {
        String[] values = commandLine.getOptionValues(SERVER);
        if (values == null) {
            throw usageError("--server is missing");
        }
        List<NetworkAddress> servers = new ArrayList<>();
        for (String value : values) {
            try {
                servers.add(NetworkAddress.parse(value));
            } catch (IllegalArgumentException e) {
                throw usageError(e.getMessage());
            }
        }
        return servers;
    }

    /** Returns the values of a repeatable option as paths, empty if the option is absent. */
    List<Path> pathValues(String option) throws CommandException {
        String[] values = commandLine.getOptionValues(option);
        try {
            return values == null ? List.of() : Stream.of(values).map(Path::of).toList();
        } catch (InvalidPathException e) {
            throw usageError("--" + option + " is not a valid file path: " + e.getMessage());
        }
    }

    boolean isJson() throws CommandException {
        String format = findValue(OUTPUT).orElse("text");
        if (!format.equals("json") && !format.equals("text")) {
            throw usageError("--output is \"" + format + "\" but must be json or text");
        }
        return format.equals("json");
    }

    static CommandException usageError(String detail) {
        return new CommandException(
                ExitCode.USAGE, detail + "; see cardamomthread --help for usage");
    }
}
