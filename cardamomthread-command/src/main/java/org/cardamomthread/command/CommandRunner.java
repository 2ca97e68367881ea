package org.cardamomthread.command;

import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.Option;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;

/** Parses a command line and runs the selected command. Confined to one thread. */
final class CommandRunner {

    private static final List<Command> COMMANDS =
            List.of(
                    new ValidateCommand(),
                    new PlanCommand(),
                    new ApplyCommand(),
                    new GetCommand(),
                    new VersionMoveCommand(),
                    new DataCentreCommand("drain"),
                    new DataCentreCommand("return"),
                    new StatusCommand(),
                    new ExplainCommand());
    private static final List<String> COMMON_OPTIONS =
            List.of(
                    CommandArguments.HELP,
                    CommandArguments.VERSION,
                    CommandArguments.OUTPUT,
                    CommandArguments.SERVER,
                    CommandArguments.TOKEN_FILE);

    private final PrintStream out;
    private final PrintStream err;
    private final CommandContext.ClientFactory clientFactory;
    private final Runnable pollDelay;

    CommandRunner(
            PrintStream out,
            PrintStream err,
            CommandContext.ClientFactory clientFactory,
            Runnable pollDelay) {
        this.out = out;
        this.err = err;
        this.clientFactory = clientFactory;
        this.pollDelay = pollDelay;
    }

    ExitCode run(String[] commandLine) {
        try {
            CommandArguments arguments = CommandArguments.parse(commandLine);
            if (arguments.hasOption(CommandArguments.HELP)) {
                out.print(help());
                return ExitCode.OK;
            }
            if (arguments.hasOption(CommandArguments.VERSION)) {
                out.println("cardamomthread " + version());
                return ExitCode.OK;
            }
            return runCommand(arguments);
        } catch (CommandException e) {
            err.println("cardamomthread: " + e.getMessage());
            return e.exitCode();
        } catch (RuntimeException e) {
            e.printStackTrace(err);
            err.println("cardamomthread: internal error; report it with the stack trace above");
            return ExitCode.INTERNAL;
        }
    }

    private ExitCode runCommand(CommandArguments arguments) throws CommandException {
        List<String> positionals = arguments.positionalArguments();
        for (Command command : COMMANDS) {
            int length = command.name().size();
            if (positionals.size() >= length
                    && positionals.subList(0, length).equals(command.name())) {
                requireKnownOptions(command, arguments);
                arguments.isJson();
                CommandContext context =
                        new CommandContext(arguments, out, clientFactory, pollDelay);
                return command.run(positionals.subList(length, positionals.size()), context);
            }
        }
        String problem =
                positionals.isEmpty() ? "no command is given" : "unknown command " + positionals;
        throw CommandArguments.usageError(problem);
    }

    private static void requireKnownOptions(Command command, CommandArguments arguments)
            throws CommandException {
        for (String option : arguments.givenOptions()) {
            if (!COMMON_OPTIONS.contains(option) && !command.options().contains(option)) {
                throw CommandArguments.usageError(
                        "--"
                                + option
                                + " is not an option of cardamomthread "
                                + String.join(" ", command.name()));
            }
        }
    }

    static String version() {
        String version = CommandRunner.class.getPackage().getImplementationVersion();
        return version == null ? "(not packaged)" : version;
    }

    static String help() {
        StringBuilder text = new StringBuilder("cardamomthread <command> [options]\n\ncommands:\n");
        for (Command command : COMMANDS) {
            text.append("  ").append(String.join(" ", command.name()));
            text.append(command.usage().isEmpty() ? "" : " " + command.usage());
            text.append("\n      ").append(command.description()).append('\n');
        }
        text.append("\noptions:\n");
        for (Option option : CommandArguments.options().getOptions()) {
            String letter = option.getOpt() == null ? "" : "-" + option.getOpt() + ", ";
            String argument = option.hasArg() ? " <" + option.getArgName() + ">" : "";
            text.append("  ").append(letter).append("--").append(option.getLongOpt());
            text.append(argument).append("\n      ").append(option.getDescription()).append('\n');
        }
        text.append("\nexit codes:\n");
        for (ExitCode code : ExitCode.values()) {
            text.append("  ").append(code.number()).append("  ").append(code.meaning());
            text.append('\n');
        }
        return text.toString();
    }
}
