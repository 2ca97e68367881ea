package org.cardamomthread.daemon.forwarding;

import java.util.OptionalLong;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dialect.RequestHead;
import org.cardamomthread.daemon.http.HttpReply;
import org.cardamomthread.daemon.http.Problem;
import org.cardamomthread.execution.ExecutionStatus;

/** Renders gateway errors as HTTP responses. Stateless. */
final class GatewayErrorRenderer {

    private GatewayErrorRenderer() {}

    static HttpReply toReply(PlatformDialect dialect, RequestHead head, GatewayError error) {
        ExecutionStatus execution =
                error.guaranteesNotRun() ? ExecutionStatus.NOT_RUN : ExecutionStatus.UNKNOWN;
        Problem problem =
                new Problem(
                        error.status(),
                        error.type(),
                        error.title(),
                        error.detail(),
                        execution,
                        OptionalLong.empty());
        HttpReply reply = problem.toReply(head.requestId().value());
        error.retryAfterMs()
                .ifPresent(delayMs -> reply.with("retry-after", dialect.encodeRetryAfter(delayMs)));
        return reply;
    }
}
