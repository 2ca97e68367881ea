package org.cardamomthread.command.client;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Holds the answer of a node.
 *
 * <p>Treated as immutable: the body must not be changed.
 *
 * @param status the HTTP status
 * @param body the JSON body
 */
public record OperatorAnswer(int status, JsonNode body) {

    private static final int FIRST_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;

    /**
     * Tells whether the request succeeded.
     *
     * @return true for a status below 400
     */
    public boolean isSuccess() {
        return status < FIRST_ERROR;
    }

    /**
     * Tells whether the same request may succeed on a later try or another node.
     *
     * @return true for a status of 500 and above
     */
    public boolean isRetryable() {
        return status >= FIRST_SERVER_ERROR;
    }

    /**
     * Tells whether the request may have had an effect.
     *
     * @return false if the node says that it was not run
     */
    public boolean mayHaveRun() {
        return !"not-run".equals(body.path("execution").asText());
    }
}
