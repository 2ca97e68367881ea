package org.cardamomthread.daemon.dispatch;

/**
 * Defines which responses of an endpoint are accepted. Immutable.
 *
 * @param correlationHeader the response header that must repeat the request identifier
 * @param mayEndByConnectionClose whether a body that is neither chunked nor has a length may be
 *     ended by an orderly close of the connection
 * @param mayOmitIdInErrorResponse whether a response with a status of 400 or above may omit the
 *     identifier
 */
public record ResponseAcceptancePolicy(
        String correlationHeader,
        boolean mayEndByConnectionClose,
        boolean mayOmitIdInErrorResponse) {

    /** The rules for endpoints that implement this project's own protocol. */
    public static final ResponseAcceptancePolicy STANDARD =
            new ResponseAcceptancePolicy("x-request-id", false, false);
}
