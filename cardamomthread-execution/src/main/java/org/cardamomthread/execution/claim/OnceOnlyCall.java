package org.cardamomthread.execution.claim;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.execution.ExecutionStatus;

/**
 * Steps one call that may not be repeated through claim, dispatch and record.
 *
 * <p>The gateway reports what happened; each report returns what to do next, in order. Invariants:
 * {@link CallAction.Dispatch} is returned at most once, and only after the claim was granted;
 * {@link ExecutionStatus#NOT_RUN} is replied only if no byte of the call was sent, and no later
 * report leads to a dispatch. A reply is returned exactly once; the commands returned with or after
 * it are proposed all the same. Reports that do not fit the step are refused with an {@link
 * IllegalStateException}, but for late ones of the claim, which are ignored. Not safe for use by
 * several threads.
 */
public final class OnceOnlyCall {

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
    private StoredAnswer answer;

    /**
     * Creates a call that has not begun.
     *
     * @param key the call
     * @param requestDigest digest of the request
     * @param gateway this node
     * @param attemptId unique to this object
     */
    public OnceOnlyCall(ClaimKey key, ByteString requestDigest, NodeId gateway, String attemptId) {
        this.key = Objects.requireNonNull(key, "key must not be null");
        this.requestDigest = Objects.requireNonNull(requestDigest, "requestDigest must be given");
        this.gateway = Objects.requireNonNull(gateway, "gateway must not be null");
        this.attemptId = Objects.requireNonNull(attemptId, "attemptId must not be null");
    }

    /**
     * Begins with the claim.
     *
     * @param nowMs the wall-clock time
     * @return the claim to propose
     */
    public List<CallAction> start(long nowMs) {
        requireStep(Step.NEW);
        step = Step.CLAIMING;
        return List.of(
                new CallAction.Propose(
                        new ClaimCommand.Claim(key, requestDigest, gateway, attemptId, nowMs)));
    }

    /**
     * Takes the answer to the claim.
     *
     * @param outcome the outcome
     * @return a dispatch if granted, else the reply
     */
    public List<CallAction> claimAnswered(ClaimOutcome outcome) {
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
     * Gives up on a claim that was not answered in time. It may be committed later, but this call
     * is never dispatched.
     *
     * @param nowMs the wall-clock time
     * @return the reply, and a release to propose for as long as it is unanswered
     */
    public List<CallAction> claimUnanswered(long nowMs) {
        if (step != Step.CLAIMING) {
            return List.of();
        }
        step = Step.DONE;
        return List.of(reply(ExecutionStatus.NOT_RUN), release(nowMs));
    }

    /**
     * Reports that the first byte is about to be handed to the connection; from here on a failure
     * leaves the call in doubt.
     */
    public void sending() {
        requireStep(Step.DISPATCHING);
        step = Step.SENT;
    }

    /**
     * Reports that the dispatch failed before {@link #sending()}.
     *
     * @param nowMs the wall-clock time
     * @return the release to propose
     */
    public List<CallAction> notSent(long nowMs) {
        requireStep(Step.DISPATCHING);
        step = Step.RELEASING;
        return List.of(release(nowMs));
    }

    /**
     * Reports that the release was applied, or that waiting for it ended; no byte was sent either
     * way.
     *
     * @return the reply
     */
    public List<CallAction> releaseEnded() {
        if (step == Step.DONE) {
            return List.of();
        }
        requireStep(Step.RELEASING);
        step = Step.DONE;
        return List.of(reply(ExecutionStatus.NOT_RUN));
    }

    /**
     * Reports the endpoint's whole answer.
     *
     * @param newAnswer the answer
     * @param nowMs the wall-clock time
     * @return the record to propose
     */
    public List<CallAction> answered(StoredAnswer newAnswer, long nowMs) {
        requireStep(Step.SENT);
        step = Step.RECORDING;
        answer = newAnswer;
        return List.of(
                new CallAction.Propose(
                        new ClaimCommand.Complete(key, attemptId, newAnswer, nowMs)));
    }

    /**
     * Reports that the record was applied, or that waiting for it ended. In the latter case the
     * caller gets its answer all the same and a resend is told that the outcome is not recorded
     * yet.
     *
     * @return the reply
     */
    public List<CallAction> recordEnded() {
        if (step == Step.DONE) {
            return List.of();
        }
        requireStep(Step.RECORDING);
        step = Step.DONE;
        return List.of(
                new CallAction.Reply(
                        ExecutionStatus.COMPLETED, Optional.of(answer), Optional.empty()));
    }

    /**
     * Reports that the call failed after {@link #sending()} without a whole answer.
     *
     * @param nowMs the wall-clock time
     * @return the reply, and the doubt to propose
     */
    public List<CallAction> failedAfterSending(long nowMs) {
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

    private void requireStep(Step wanted) {
        if (step != wanted) {
            throw new IllegalStateException(
                    "the call is at step " + step + "; this report belongs to step " + wanted);
        }
    }
}
