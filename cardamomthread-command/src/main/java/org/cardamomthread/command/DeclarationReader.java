package org.cardamomthread.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.declaration.DeclarationsLoader;
import org.cardamomthread.configuration.document.InvalidDocumentException;

/**
 * Reads declarations from folders and node responses. Stateless and safe for use by several
 * threads.
 */
final class DeclarationReader {

    private DeclarationReader() {}

    static Declarations load(String folder) throws CommandException {
        try {
            return new DeclarationsLoader().load(Path.of(folder));
        } catch (InvalidDocumentException e) {
            throw new CommandException(ExitCode.INVALID, e.getMessage());
        }
    }

    /** Parses the declarations in the response of a node. */
    static Declarations parseResponse(JsonNode response) throws CommandException {
        try {
            return new DeclarationsLoader()
                    .load("the node's response", response.path("declarations"));
        } catch (InvalidDocumentException e) {
            throw new CommandException(
                    ExitCode.REJECTED,
                    "the node returned declarations that this release does not support; use the"
                            + " release of the command that matches the node\n"
                            + e.getMessage());
        }
    }
}
