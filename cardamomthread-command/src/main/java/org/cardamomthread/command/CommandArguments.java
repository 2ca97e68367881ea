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
 * Holds the parsed command line.
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

    private final CommandLine line;

    private CommandArguments(CommandLine line) {
        this.line = line;
    }

    static CommandArguments parse(String[] arguments) throws CommandException {
        try {
            return new CommandArguments(new DefaultParser(false).parse(options(), arguments));
        } catch (ParseException e) {
            throw usage(e.getMessage());
        }
    }

    static Options options() {
        Options options = new Options();
        add(options, "h", HELP, null, "prints this help");
        add(options, null, VERSION, null, "prints the version");
        add(options, "o", OUTPUT, "json|text", "form of the output, text unless given");
        add(options, null, SERVER, "host:port", "operators' address of a node, may be repeated");
        add(options, null, TOKEN_FILE, "file", "file that holds the operator's token");
        add(options, null, LOGS, "file", "log of a node, may be repeated");
        add(options, null, SETTINGS, "file", "settings file to validate");
        add(options, null, BASE, "revision", "revision the change was made against");
        add(options, null, OPERATION_ID, "id", "repeats the change with this id");
        add(options, null, SERVICE, "id", "service to move");
        add(options, null, TO, "version", "version to move to");
        add(options, null, BY, "time", "deadline of the move, such as 2027-01-31T18:00:00Z");
        add(options, null, WATCH, null, "prints progress until version moves have ended");
        return options;
    }

    private static void add(
            Options options, String letter, String name, String argument, String text) {
        Option.Builder builder = Option.builder(letter).longOpt(name).desc(text);
        if (argument != null) {
            builder.hasArg().argName(argument);
        }
        options.addOption(builder.get());
    }

    /** Returns the words that are not options. */
    List<String> words() {
        return line.getArgList();
    }

    boolean has(String option) {
        return line.hasOption(option);
    }

    Optional<String> find(String option) throws CommandException {
        String[] values = line.getOptionValues(option);
        if (values != null && values.length > 1) {
            throw usage("--" + option + " is given twice");
        }
        return Optional.ofNullable(line.getOptionValue(option));
    }

    String require(String option) throws CommandException {
        return find(option).orElseThrow(() -> usage("--" + option + " is missing"));
    }

    /** Names the options given, in their long form. */
    List<String> given() {
        List<String> names = new ArrayList<>();
        for (Option option : line.getOptions()) {
            names.add(option.getLongOpt());
        }
        return names;
    }

    List<NetworkAddress> servers() throws CommandException {
        String[] values = line.getOptionValues(SERVER);
        if (values == null) {
            throw usage("--server is missing");
        }
        List<NetworkAddress> servers = new ArrayList<>();
        for (String value : values) {
            try {
                servers.add(NetworkAddress.parse(value));
            } catch (IllegalArgumentException e) {
                throw usage(e.getMessage());
            }
        }
        return servers;
    }

    /** Returns the files that an option names, which may be repeated; none if it is not given. */
    List<Path> files(String option) throws CommandException {
        String[] values = line.getOptionValues(option);
        try {
            return values == null ? List.of() : Stream.of(values).map(Path::of).toList();
        } catch (InvalidPathException e) {
            throw usage("--" + option + " names no file: " + e.getMessage());
        }
    }

    boolean isJson() throws CommandException {
        String form = find(OUTPUT).orElse("text");
        if (!form.equals("json") && !form.equals("text")) {
            throw usage("--output is \"" + form + "\" and must be json or text");
        }
        return form.equals("json");
    }

    static CommandException usage(String detail) {
        return new CommandException(
                ExitCode.USAGE, detail + "; see cardamomthread --help for the command's options");
    }
}
