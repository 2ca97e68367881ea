package org.cardamomthread.execution.stream;

import java.util.Objects;

/**
 * Holds what a caller, or the log, already has of a model's answer.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param text the text
 * @param tokens the number of tokens that it was generated from
 */
public record Delivered(String text, int tokens) {

    /** Nothing delivered yet. */
    public static final Delivered NOTHING = new Delivered("", 0);

    /** Checks the count. */
    public Delivered {
        Objects.requireNonNull(text, "text must not be null");
        if (tokens < 0) {
            throw new IllegalArgumentException("tokens " + tokens + " must not be negative");
        }
    }
}
