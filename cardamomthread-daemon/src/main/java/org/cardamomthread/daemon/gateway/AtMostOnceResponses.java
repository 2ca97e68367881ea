package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.http.ProblemDetail;
import org.cardamomthread.daemon.http.ServerResponse;
import org.cardamomthread.execution.ExecutionStatus;
import org.cardamomthread.execution.claim.CallAction;
import org.cardamomthread.execution.claim.ClaimOutcome;
import org.cardamomthread.execution.claim.StoredResponse;

/**
 * Creates the responses to at-most-once calls other than a response just received from an endpoint.
 * Stateless.
 */
final class AtMostOnceResponses {

    private static final long RETRY_AFTER_S = 1;

    private AtMostOnceResponses() {}

    static ProblemDetail createClaimUnavailableProblem(CallTarget target) {
        return ProblemDetail.createNotRun(
                        503,
                        "claim-unavailable",
                        "Claim not committed",
                        String.format(
                                "the call of service \"%s\" may run at most once and a majority of"
                                        + " voters did not commit its claim, so this request was"
                                        + " not run; an earlier request with the same key may have"
                                        + " been run: retry with the same Idempotency-Key",
                                target.service()))
                .withRetryAfterS(RETRY_AFTER_S);
    }

    static ProblemDetail createAttemptFailedProblem(
            EndpointFailureException failure, boolean mayHaveBeenSent) {
        if (!mayHaveBeenSent) {
            return ProblemDetail.createNotRun(
                            503,
                            "endpoint-not-reached",
                            "Endpoint not reached",
                            failure.getMessage()
                                    + "; nothing was sent: retry the call with the same"
                                    + " Idempotency-Key")
                    .withRetryAfterS(RETRY_AFTER_S);
        }
        return createOutcomeUnknownProblem(
                failure.getMessage()
                        + "; the call may have run: check its effect in the service before sending"
                        + " a new call");
    }

    static ProblemDetail createAlreadyClaimedProblem(CallAction.Reply reply) {
        ClaimOutcome.Kind kind = reply.cause().orElse(ClaimOutcome.Kind.UNKNOWN);
        return switch (kind) {
            case CONFLICT ->
                    ProblemDetail.createNotRun(
                            409,
                            "idempotency-key-reused",
                            "Idempotency key reused",
                            "the Idempotency-Key was used for a different request: use a new key"
                                    + " for a new request");
            case IN_PROGRESS ->
                    createOutcomeUnknownProblem(
                                    "an earlier request with the same Idempotency-Key is still in"
                                            + " progress: retry later")
                            .withRetryAfterS(RETRY_AFTER_S);
            default -> createExecutionStatusProblem(reply.execution(), kind);
        };
    }

    static ServerResponse createStoredResponse(StoredResponse storedResponse) {
        HttpHeaders headers = new DefaultHttpHeaders();
        storedResponse.headers().forEach(header -> headers.add(header.name(), header.value()));
        return new ServerResponse(
                storedResponse.status(), headers, storedResponse.body().toByteArray());
    }

    private static ProblemDetail createExecutionStatusProblem(
            ExecutionStatus execution, ClaimOutcome.Kind kind) {
        if (execution == ExecutionStatus.NOT_RUN) {
            return ProblemDetail.createNotRun(
                    503,
                    "claim-released",
                    "Claim released",
                    "the claim of the call was released: retry the call");
        }
        if (execution == ExecutionStatus.COMPLETED) {
            return new ProblemDetail(
                    410,
                    "answer-not-kept",
                    "Answer not kept",
                    "the call has run, but its response is no longer stored: check its effect in"
                            + " the service",
                    ExecutionStatus.COMPLETED,
                    OptionalLong.empty());
        }
        return createOutcomeUnknownProblem(
                kind == ClaimOutcome.Kind.EXPIRED
                        ? "the Idempotency-Key has expired: check the effect of the call in the"
                                + " service before sending a new call"
                        : "the call may have run: check its effect in the service before sending a"
                                + " new call");
    }

    private static ProblemDetail createOutcomeUnknownProblem(String detail) {
        return new ProblemDetail(
                504,
                "outcome-unknown",
                "Outcome unknown",
                detail,
                ExecutionStatus.UNKNOWN,
                OptionalLong.empty());
    }
}
