package org.cardamomthread.execution.claim;

import java.util.Objects;

/**
 * Header of a stored response. Immutable and thread-safe.
 *
 * @param name header name
 * @param value header value
 */
public record ResponseHeader(String name, String value) {

    /** Validates that neither component is null. */
    public ResponseHeader {
        Objects.requireNonNull(name, "name must not be null");
        Objects.requireNonNull(value, "value must not be null");
    }
}
