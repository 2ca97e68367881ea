package org.cardamomthread.command.client;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The response of a node to an operator request.
 *
 * <p>Treated as immutable; callers must not modify the body.
 *
 * @param status the HTTP status
 * @param body the JSON body
 */
public record OperatorResponse(int status, JsonNode body) {

    private static final int FIRST_ERROR_STATUS = 400;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    /**
     * Returns whether the request succeeded.
     *
     * @return true for a status below 400
     */
    public boolean isSuccess() {
        return status < FIRST_ERROR_STATUS;
    }

    /**
     * Returns whether the same request may succeed when retried later or on another node.
     *
     * @return true for a status of 500 and above
     */
    public boolean isRetryable() {
        return status >= FIRST_SERVER_ERROR_STATUS;
    }

    /**
     * Returns whether the request may have been executed.
     *
     * @return false if the node reports that the request was not run
     */
    public boolean mayHaveExecuted() {
        return !"not-run".equals(body.path("execution").asText());
    }
}
