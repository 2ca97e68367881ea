package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.http.ServerResponse;

/**
 * Holds the status and headers of an endpoint's response.
 *
 * @param status the status code
 * @param headers the headers as received
 */
record ResponseHead(int status, HttpHeaders headers) {

    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int OK = 200;
    private static final int FIRST_REDIRECTION = 300;

    /** Returns whether a retry on another endpoint might succeed. */
    boolean isRetryable() {
        return status == TOO_MANY_REQUESTS || status >= FIRST_SERVER_ERROR;
    }

    /** Returns whether the endpoint has run the request successfully. */
    boolean isSuccess() {
        return status >= OK && status < FIRST_REDIRECTION;
    }

    /** Returns the kind of failure that a retryable status stands for. */
    EndpointFailureException.Kind getFailureKind() {
        boolean isOverloaded = status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
        return isOverloaded
                ? EndpointFailureException.Kind.OVERLOADED
                : EndpointFailureException.Kind.SERVER_ERROR;
    }

    /** Returns whether the body is a server-sent event stream. */
    boolean isEventStream() {
        String type = headers.get("content-type");
        return status == OK && type != null && type.startsWith("text/event-stream");
    }

    ServerResponse createResponse(byte[] body) {
        return new ServerResponse(status, AttemptDispatcher.createResponseHeaders(headers), body);
    }
}
