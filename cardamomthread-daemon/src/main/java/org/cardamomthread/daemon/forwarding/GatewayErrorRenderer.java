package org.cardamomthread.daemon.forwarding;

import java.util.OptionalLong;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dialect.RequestHead;
import org.cardamomthread.daemon.http.ProblemDetail;
import org.cardamomthread.daemon.http.ServerResponse;
import org.cardamomthread.execution.ExecutionStatus;

/** Renders gateway errors as HTTP responses. Stateless. */
final class GatewayErrorRenderer {

    private GatewayErrorRenderer() {}

    static ServerResponse toResponse(
            PlatformDialect dialect, RequestHead head, GatewayError error) {
        ExecutionStatus execution =
                error.guaranteesNotRun() ? ExecutionStatus.NOT_RUN : ExecutionStatus.UNKNOWN;
        ProblemDetail problem =
                new ProblemDetail(
                        error.status(),
                        error.type(),
                        error.title(),
                        error.detail(),
                        execution,
                        OptionalLong.empty());
        ServerResponse response = problem.toResponse(head.requestId().value());
        error.retryAfterMs()
                .ifPresent(
                        delayMs ->
                                response.setHeader(
                                        "retry-after", dialect.encodeRetryAfter(delayMs)));
        return response;
    }
}
