package org.cardamomthread.configuration.document;

import java.util.Comparator;
import java.util.Objects;

/**
 * Describes one error in a document and how to correct it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param location where the error is
 * @param key the path of the key, such as {@code services/0/profile}; empty for the whole document
 * @param detail what is wrong
 * @param remedy how to correct it
 */
public record DocumentProblem(SourceLocation location, String key, String detail, String remedy)
        implements Comparable<DocumentProblem> {

    private static final Comparator<DocumentProblem> ORDER =
            Comparator.comparing((DocumentProblem problem) -> problem.location.source())
                    .thenComparing(problem -> problem.location.line())
                    .thenComparing(problem -> problem.location.column())
                    .thenComparing(DocumentProblem::key)
                    .thenComparing(DocumentProblem::detail)
                    .thenComparing(DocumentProblem::remedy);

    /** Validates the components. */
    public DocumentProblem {
        Objects.requireNonNull(location, "location must not be null");
        Objects.requireNonNull(key, "key must not be null");
        Objects.requireNonNull(detail, "detail must not be null");
        Objects.requireNonNull(remedy, "remedy must not be null");
    }

    @Override
    public int compareTo(DocumentProblem other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        String subject = key.isEmpty() ? "" : "\"" + key + "\": ";
        return location + ": " + subject + detail + "; " + remedy;
    }
}
