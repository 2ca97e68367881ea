package org.cardamomthread.daemon.operator;

import java.util.Map;

/**
 * Holds the answer to an operator.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the body
 * @param headers further headers
 */
public record OperatorResponse(
        int status, String contentType, String body, Map<String, String> headers) {
    /** Copies the headers. */
    public OperatorResponse {
        headers = Map.copyOf(headers);
    }
}
