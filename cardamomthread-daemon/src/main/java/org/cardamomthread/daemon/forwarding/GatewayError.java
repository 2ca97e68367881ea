package org.cardamomthread.daemon.forwarding;

import java.util.OptionalLong;
import org.cardamomthread.daemon.http.ProblemDetail;

/**
 * Describes an error response that the gateway generates itself. Immutable.
 *
 * @param status the HTTP status code; 408, 421, 429 and 503 guarantee that the request never runs
 * @param type the last segment of the problem type, also used as the reason in logs and metrics
 * @param title a short summary of the kind of problem
 * @param detail the cause in this case and the remedy
 * @param retryAfterMs the delay after which the client may retry, in milliseconds, or empty
 */
record GatewayError(
        int status, String type, String title, String detail, OptionalLong retryAfterMs) {

    static GatewayError of(int status, String type, String title, String detail) {
        return new GatewayError(status, type, title, detail, OptionalLong.empty());
    }

    static GatewayError of(ProblemDetail problem) {
        return of(problem.status(), problem.type(), problem.title(), problem.detail());
    }

    static GatewayError unavailable(String type, String detail, long retryAfterMs) {
        return new GatewayError(
                503, type, "Service unavailable", detail, OptionalLong.of(retryAfterMs));
    }

    /** Returns whether the status guarantees that the request never runs. */
    boolean guaranteesNotRun() {
        return status < 500 || status == 503;
    }
}
