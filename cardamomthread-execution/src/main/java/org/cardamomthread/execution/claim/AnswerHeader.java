package org.cardamomthread.execution.claim;

import java.util.Objects;

/**
 * Holds one header of an answer. Immutable and safe for use by several threads.
 *
 * @param name its name
 * @param value its value
 */
public record AnswerHeader(String name, String value) {

    /** Checks that neither is null. */
    public AnswerHeader {
        Objects.requireNonNull(name, "name must not be null");
        Objects.requireNonNull(value, "value must not be null");
    }
}
