package org.cardamomthread.configuration.document;

import java.util.List;
import java.util.stream.Collectors;
import org.cardamomthread.core.CardamomthreadException;

/**
 * Thrown if documents are invalid; reports every error found in them, in the order of their
 * locations.
 */
public final class InvalidDocumentException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    private final transient List<DocumentProblem> problems;

    /**
     * Creates an exception.
     *
     * @param problems the errors, at least one, in any order
     */
    public InvalidDocumentException(List<DocumentProblem> problems) {
        super(
                problems.stream()
                        .sorted()
                        .map(DocumentProblem::toString)
                        .collect(Collectors.joining("\n")));
        if (problems.isEmpty()) {
            throw new IllegalArgumentException("problems must contain at least one problem");
        }
        this.problems = problems.stream().sorted().toList();
    }

    /**
     * Returns the errors.
     *
     * @return the errors in the order of their locations, at least one
     */
    public List<DocumentProblem> problems() {
        return problems;
    }
}
