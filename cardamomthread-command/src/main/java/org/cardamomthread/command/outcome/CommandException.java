package org.cardamomthread.command.outcome;

import org.cardamomthread.core.CardamomthreadException;

/** Reports the failure of a command with the exit code for the process. */
public final class CommandException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    /**
     * Creates an exception.
     *
     * @param exitCode the exit code
     * @param message the error and, if there is one, the remedy
     */
    public CommandException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /**
     * Returns the exit code for the process.
     *
     * @return the code, never {@link DaemonExitCode#OK}
     */
    public ExitCode exitCode() {
        return exitCode;
    }
}
