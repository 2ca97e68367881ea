package org.cardamomthread.daemon.start;

import java.nio.file.Path;
import org.cardamomthread.configuration.document.InvalidDocumentException;

/** Creates nodes from a settings file. Implementations are thread-safe. */
public interface NodeFactory {

    /**
     * Validates the settings, configures logging as they state and assembles the node.
     *
     * @param file the settings file
     * @return the node, which is not started yet
     * @throws InvalidDocumentException if the settings are invalid; contains all errors
     */
    StartableNode create(Path file) throws InvalidDocumentException;

    /**
     * Validates a settings file that has changed.
     *
     * @param file the settings file
     * @throws InvalidDocumentException if the settings are invalid; contains all errors
     */
    void validate(Path file) throws InvalidDocumentException;
}
