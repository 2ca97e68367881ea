package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.http.HttpReply;
import org.cardamomthread.daemon.http.Problem;
import org.cardamomthread.execution.ExecutionStatus;
import org.cardamomthread.execution.claim.CallAction;
import org.cardamomthread.execution.claim.ClaimOutcome;
import org.cardamomthread.execution.claim.StoredAnswer;

/** Words what callers are told of calls that may run at most once. Stateless. */
final class OnceOnlyProblems {

    private static final long RETRY_AFTER_S = 1;

    private OnceOnlyProblems() {}

    static Problem createUnclaimed(CallTarget target) {
        return Problem.createNotRun(
                        503,
                        "claim-unavailable",
                        "Claim not committed",
                        String.format(
                                "the call of service \"%s\" may run at most once and its claim was"
                                        + " not committed by a majority of voters, so this send was"
                                        + " not run; whether an earlier send with the key was, only"
                                        + " the voters know: send it again with the same"
                                        + " Idempotency-Key",
                                target.service()))
                .withRetryAfterS(RETRY_AFTER_S);
    }

    static Problem createFailed(EndpointFailureException failure, boolean isSent) {
        if (!isSent) {
            return Problem.createNotRun(
                            503,
                            "endpoint-not-reached",
                            "Endpoint not reached",
                            failure.getMessage()
                                    + "; nothing was sent: send the call again with the same"
                                    + " Idempotency-Key")
                    .withRetryAfterS(RETRY_AFTER_S);
        }
        return createUnknown(
                failure.getMessage()
                        + "; the call may have run: see the service before booking anew");
    }

    static Problem createClaimed(CallAction.Reply reply) {
        ClaimOutcome.Kind kind = reply.cause().orElse(ClaimOutcome.Kind.UNKNOWN);
        return switch (kind) {
            case CONFLICT ->
                    Problem.createNotRun(
                            409,
                            "idempotency-key-reused",
                            "Idempotency key reused",
                            "the Idempotency-Key belongs to another request: take a new key for a"
                                    + " new request");
            case IN_PROGRESS ->
                    createUnknown("an earlier send of this call is still in progress: ask again")
                            .withRetryAfterS(RETRY_AFTER_S);
            default -> createOther(reply.execution(), kind);
        };
    }

    static HttpReply createStoredReply(StoredAnswer answer) {
        HttpHeaders headers = new DefaultHttpHeaders();
        answer.headers().forEach(header -> headers.add(header.name(), header.value()));
        return new HttpReply(answer.status(), headers, answer.body().toByteArray());
    }

    private static Problem createOther(ExecutionStatus execution, ClaimOutcome.Kind kind) {
        if (execution == ExecutionStatus.NOT_RUN) {
            return Problem.createNotRun(
                    503, "claim-released", "Claim released", "send the call again");
        }
        if (execution == ExecutionStatus.COMPLETED) {
            return new Problem(
                    410,
                    "answer-not-kept",
                    "Answer not kept",
                    "the call has run and its answer is no longer kept: see the service",
                    ExecutionStatus.COMPLETED,
                    OptionalLong.empty());
        }
        return createUnknown(
                kind == ClaimOutcome.Kind.EXPIRED
                        ? "the Idempotency-Key is too old: see the service before booking anew"
                        : "the call may have run: see the service before booking anew");
    }

    private static Problem createUnknown(String detail) {
        return new Problem(
                504,
                "outcome-unknown",
                "Outcome unknown",
                detail,
                ExecutionStatus.UNKNOWN,
                OptionalLong.empty());
    }
}
