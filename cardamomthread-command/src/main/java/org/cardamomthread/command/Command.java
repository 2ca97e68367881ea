package org.cardamomthread.command;

import java.util.List;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;

/** A subcommand of the command line tool. Implementations are stateless. */
interface Command {

    /**
     * Returns the words that select the command.
     *
     * @return the words, such as {@code version} and {@code move}
     */
    List<String> name();

    /**
     * Returns the usage text that follows the name in the help.
     *
     * @return the arguments and options of the command, possibly empty
     */
    String usage();

    /**
     * Returns the description shown in the help.
     *
     * @return one phrase without a final full stop
     */
    String description();

    /**
     * Returns the long names of the options that the command accepts besides the common ones.
     *
     * @return the long option names without dashes
     */
    List<String> options();

    /**
     * Runs the command.
     *
     * @param positionals the positional arguments after the name
     * @param context access to the options, the output and the client
     * @return the exit code
     * @throws CommandException if the command fails
     */
    ExitCode run(List<String> positionals, CommandContext context) throws CommandException;
}
