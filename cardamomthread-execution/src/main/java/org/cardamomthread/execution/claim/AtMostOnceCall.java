package org.cardamomthread.execution.claim;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.execution.ExecutionStatus;

/**
 * Tracks one non-idempotent call through claim, dispatch and recording of the response, and ensures
 * that it is executed at most once.
 *
 * <p>The gateway reports each event, and the called method returns the actions to perform, in
 * order. Invariants: {@link CallAction.Dispatch} is returned at most once, and only after the claim
 * was granted; {@link ExecutionStatus#NOT_RUN} is replied only if no byte of the call was sent, and
 * no later event leads to a dispatch. A reply is returned exactly once; commands that are returned
 * with it or after it must still be proposed. An event that does not belong to the current step is
 * rejected with an {@link IllegalStateException}, except for late outcomes and timeouts of the
 * claim, the release and the record, which are ignored. Not thread-safe.
 */
public final class AtMostOnceCall {

    private enum Step {
        NEW,
        CLAIMING,
        DISPATCHING,
        SENT,
        RECORDING,
        RELEASING,
        DONE
    }

    private final ClaimKey key;
    private final ByteString requestDigest;
    private final NodeId gateway;
    private final String attemptId;
    private Step step = Step.NEW;
    private StoredResponse response;

    /**
     * Creates a call that has not started.
     *
     * @param key account, service and idempotency key of the call
     * @param requestDigest digest of the request
     * @param gateway this node, which dispatches the call
     * @param attemptId unique identifier of this attempt
     */
    public AtMostOnceCall(
            ClaimKey key, ByteString requestDigest, NodeId gateway, String attemptId) {
        this.key = Objects.requireNonNull(key, "key must not be null");
        this.requestDigest =
                Objects.requireNonNull(requestDigest, "requestDigest must not be null");
        this.gateway = Objects.requireNonNull(gateway, "gateway must not be null");
        this.attemptId = Objects.requireNonNull(attemptId, "attemptId must not be null");
    }

    /**
     * Starts the call by claiming its key.
     *
     * @param nowMs current wall-clock time
     * @return the claim command to propose
     */
    public List<CallAction> start(long nowMs) {
        requireStep(Step.NEW);
        step = Step.CLAIMING;
        return List.of(
                new CallAction.Propose(
                        new ClaimCommand.Claim(key, requestDigest, gateway, attemptId, nowMs)));
    }

    /**
     * Reports the outcome of the claim.
     *
     * @param outcome result of applying the claim command
     * @return the dispatch if the claim was granted, otherwise the reply; empty if the call is no
     *     longer waiting for the claim
     */
    public List<CallAction> onClaimOutcome(ClaimOutcome outcome) {
        if (step != Step.CLAIMING) {
            return List.of();
        }
        if (outcome.kind() == ClaimOutcome.Kind.GRANTED) {
            step = Step.DISPATCHING;
            return List.of(new CallAction.Dispatch());
        }
        step = Step.DONE;
        return List.of(
                new CallAction.Reply(
                        toExecutionStatus(outcome), outcome.answer(), Optional.of(outcome.kind())));
    }

    /**
     * Reports that the claim was not confirmed in time. The claim may be committed later, but this
     * call is never dispatched.
     *
     * @param nowMs current wall-clock time
     * @return the reply, and a release to propose until it is confirmed
     */
    public List<CallAction> onClaimTimeout(long nowMs) {
        if (step != Step.CLAIMING) {
            return List.of();
        }
        step = Step.DONE;
        return List.of(reply(ExecutionStatus.NOT_RUN), release(nowMs));
    }

    /**
     * Reports that the first byte is about to be written to the connection. After a later failure,
     * the outcome of the call is unknown.
     */
    public void onBeforeSend() {
        requireStep(Step.DISPATCHING);
        step = Step.SENT;
    }

    /**
     * Reports that the dispatch failed before {@link #onBeforeSend()}.
     *
     * @param nowMs current wall-clock time
     * @return the release command to propose
     */
    public List<CallAction> onSendNotStarted(long nowMs) {
        requireStep(Step.DISPATCHING);
        step = Step.RELEASING;
        return List.of(release(nowMs));
    }

    /**
     * Reports that the release was applied or timed out. No byte was sent in either case.
     *
     * @return the reply; empty if the caller already has one
     */
    public List<CallAction> onReleaseFinished() {
        if (step == Step.DONE) {
            return List.of();
        }
        requireStep(Step.RELEASING);
        step = Step.DONE;
        return List.of(reply(ExecutionStatus.NOT_RUN));
    }

    /**
     * Reports the complete response of the endpoint.
     *
     * @param newResponse response to record and to return to the caller
     * @param nowMs current wall-clock time
     * @return the command to propose, which records the response
     */
    public List<CallAction> onResponse(StoredResponse newResponse, long nowMs) {
        requireStep(Step.SENT);
        step = Step.RECORDING;
        response = newResponse;
        return List.of(
                new CallAction.Propose(
                        new ClaimCommand.Complete(key, attemptId, newResponse, nowMs)));
    }

    /**
     * Reports that the response was recorded or that recording timed out. After a timeout, the
     * caller still receives the response, and a resend is told that the outcome is not recorded
     * yet.
     *
     * @return the reply; empty if the caller already has one
     */
    public List<CallAction> onRecordFinished() {
        if (step == Step.DONE) {
            return List.of();
        }
        requireStep(Step.RECORDING);
        step = Step.DONE;
        return List.of(
                new CallAction.Reply(
                        ExecutionStatus.COMPLETED, Optional.of(response), Optional.empty()));
    }

    /**
     * Reports that the call failed after {@link #onBeforeSend()} without a complete response.
     *
     * @param nowMs current wall-clock time
     * @return the reply, and the command to propose, which marks the outcome as unknown
     */
    public List<CallAction> onFailureAfterSend(long nowMs) {
        requireStep(Step.SENT);
        step = Step.DONE;
        return List.of(
                reply(ExecutionStatus.UNKNOWN),
                new CallAction.Propose(new ClaimCommand.MarkUnknown(key, attemptId, nowMs)));
    }

    private CallAction release(long nowMs) {
        return new CallAction.Propose(new ClaimCommand.Release(key, attemptId, nowMs));
    }

    private static CallAction reply(ExecutionStatus execution) {
        return new CallAction.Reply(execution, Optional.empty(), Optional.empty());
    }

    private static ExecutionStatus toExecutionStatus(ClaimOutcome outcome) {
        return switch (outcome.kind()) {
            case ALREADY_COMPLETED -> ExecutionStatus.COMPLETED;
            case CONFLICT, RELEASED -> ExecutionStatus.NOT_RUN;
            case EXPIRED ->
                    outcome.completed() ? ExecutionStatus.COMPLETED : ExecutionStatus.UNKNOWN;
            default -> ExecutionStatus.UNKNOWN;
        };
    }

    private void requireStep(Step expected) {
        if (step != expected) {
            throw new IllegalStateException(
                    "the call is in step "
                            + step
                            + "; this event is valid only in step "
                            + expected);
        }
    }
}
