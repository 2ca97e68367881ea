package org.cardamomthread.command;

import java.util.List;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;

/** One command of the command line. Implementations are stateless. */
interface Command {

    /**
     * Returns the words that name the command.
     *
     * @return such as {@code version move}
     */
    List<String> name();

    /**
     * Returns the usage line after the name.
     *
     * @return the words and options that the command takes
     */
    String usage();

    /**
     * Returns what the command does.
     *
     * @return a short text
     */
    String description();

    /**
     * Returns the long names of the options that only some commands take and this one does.
     *
     * @return the names
     */
    List<String> options();

    /**
     * Runs the command.
     *
     * @param words the words after the name
     * @param context the arguments, the output and the client
     * @return the exit code
     * @throws CommandException if it does not succeed
     */
    ExitCode run(List<String> words, CommandContext context) throws CommandException;
}
