package org.cardamomthread.command.outcome;

import org.cardamomthread.core.CardamomthreadException;

/** Ends a command without success. */
public final class CommandException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    /**
     * Creates an exception.
     *
     * @param exitCode the exit code
     * @param message what is wrong and the remedy
     */
    public CommandException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /**
     * Returns the exit code.
     *
     * @return the code, never {@link ExitCode#OK}
     */
    public ExitCode exitCode() {
        return exitCode;
    }
}
