package org.cardamomthread.daemon.operator;

import java.util.Map;

/**
 * The response to an operator's request, independent of the transport.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the HTTP status code
 * @param contentType the media type of the body
 * @param body the body
 * @param headers the headers other than Content-Type
 */
public record OperatorResponse(
        int status, String contentType, String body, Map<String, String> headers) {
    /** Copies the headers. */
    public OperatorResponse {
        headers = Map.copyOf(headers);
    }
}
