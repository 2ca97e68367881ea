package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.http.HttpReply;

/**
 * Holds the head of an endpoint's answer.
 *
 * @param status the status code
 * @param headers the headers as received
 */
record AnswerHead(int status, HttpHeaders headers) {

    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int OK = 200;

    /** Tells whether another endpoint might answer better. */
    boolean isRetryable() {
        return status == TOO_MANY_REQUESTS || status >= FIRST_SERVER_ERROR;
    }

    /** Names a retryable answer as a failure. */
    EndpointFailureException.Kind getFailureKind() {
        boolean isOverloaded = status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
        return isOverloaded
                ? EndpointFailureException.Kind.OVERLOADED
                : EndpointFailureException.Kind.SERVER_ERROR;
    }

    /** Tells whether the body is a stream of events. */
    boolean isEventStream() {
        String type = headers.get("content-type");
        return status == OK && type != null && type.startsWith("text/event-stream");
    }

    HttpReply createReply(byte[] body) {
        return new HttpReply(status, AttemptRunner.createCallerHeaders(headers), body);
    }
}
