package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.declaration.DeclarationsLoader;
import org.cardamomthread.configuration.document.InvalidDocumentException;

/** Loads declarations for commands. Stateless and safe for use by several threads. */
final class DeclarationFiles {

    private DeclarationFiles() {}

    static Declarations load(String folder) throws CommandException {
        try {
            return new DeclarationsLoader().load(Path.of(folder));
        } catch (InvalidDocumentException e) {
            throw new CommandException(ExitCode.INVALID, e.getMessage());
        }
    }

    /** Reads the declarations that a node has answered. */
    static Declarations ofAnswer(JsonNode answer) throws CommandException {
        try {
            return new DeclarationsLoader().load("the node's answer", answer.path("declarations"));
        } catch (InvalidDocumentException e) {
            throw new CommandException(
                    ExitCode.REJECTED,
                    "the node answers declarations that this release does not know; use the"
                            + " node's release of the command\n"
                            + e.getMessage());
        }
    }
}
