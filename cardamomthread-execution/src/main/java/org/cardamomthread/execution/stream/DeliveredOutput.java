package org.cardamomthread.execution.stream;

import java.util.Objects;

/**
 * Part of a model's output that the caller or the log already has.
 *
 * <p>Immutable and thread-safe.
 *
 * @param text delivered text
 * @param tokens number of generated tokens that the text represents
 */
public record DeliveredOutput(String text, int tokens) {

    /** Empty output, for a request of which nothing was delivered. */
    public static final DeliveredOutput EMPTY = new DeliveredOutput("", 0);

    /** Validates that the text is present and the token count is not negative. */
    public DeliveredOutput {
        Objects.requireNonNull(text, "text must not be null");
        if (tokens < 0) {
            throw new IllegalArgumentException("tokens " + tokens + " must not be negative");
        }
    }
}
