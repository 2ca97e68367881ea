package org.cardamomthread.daemon.gateway;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dispatch.EndpointAttempt;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.http.ProblemDetail;
import org.cardamomthread.execution.ExecutionStatus;
import org.cardamomthread.policy.quarantine.TrialDecision;
import org.cardamomthread.policy.routing.PromptPrefix;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a call that may be retried: reserves an endpoint, sends one attempt, and after a failure
 * retries on another endpoint within the limits on attempts, time and the retry budget.
 *
 * <p>Invariants: at most one attempt is in progress, and its reservation is released exactly once,
 * before the next attempt is placed; a call whose prompt may have crashed an endpoint is not sent
 * to another one. Events may arrive on any thread; this object's lock serializes them.
 */
abstract class AbstractRetryableCall implements PlacementListener {

    private static final Logger LOGGER = LoggerFactory.getLogger(AbstractRetryableCall.class);
    private static final int MAX_ATTEMPTS = 5;
    private static final long MAX_RETRY_PERIOD_MS = 120_000;

    private final CallContext context;
    private final CallDependencies dependencies;
    private final GuardedPrompt prompt;
    private final Set<EndpointId> failedEndpoints = new HashSet<>();
    private PendingPlacement pendingPlacement;
    private EndpointAttempt attempt;
    private EndpointReservation reservation;
    private int attemptCount;
    private long sentMs;
    private boolean isTrial;
    private boolean hasAnswer;
    private boolean mayHaveRun;
    private boolean ended;

    AbstractRetryableCall(CallContext context, CallDependencies dependencies, PromptPrefix prefix) {
        this.context = context;
        this.dependencies = dependencies;
        this.prompt =
                dependencies
                        .promptGuard()
                        .createPrompt(
                                context.getRequestId(), context.getTarget().service(), prefix);
    }

    /** Starts the first attempt and cancels the call if the caller disconnects. */
    final void start() {
        context.getExchange().onDisconnect(this::cancel);
        placeNextAttempt();
    }

    @Override
    public final void onPlaced(EndpointReservation newReservation) {
        synchronized (this) {
            if (ended) {
                newReservation.release(AttemptReport.ABANDONED);
                return;
            }
            reservation = newReservation;
        }
        dependencies
                .promptGuard()
                .decide(prompt, decision -> startAttempt(newReservation, decision));
    }

    @Override
    public final void onRefused(ProblemDetail problem) {
        synchronized (this) {
            if (!ended) {
                ended = true;
                reportFailure(mayHaveRun ? problem.asMayHaveRun() : problem);
            }
        }
    }

    /** Returns what the next attempt requires of an endpoint that is not excluded. */
    protected abstract PlacementRequest createPlacementRequest(Set<EndpointId> excluded);

    /**
     * Returns a listener for the response of an attempt. It must end the attempt by {@link
     * #finishWithoutRetry}, {@link #retryOrFail} or {@link #cancelAttemptAndRetry}.
     */
    protected abstract EndpointResponseListener createListener(EndpointReservation reservation);

    /** Returns the path and query that an attempt sends to the endpoint. */
    protected abstract String getRequestTarget();

    /** Returns the body that the next attempt sends to the endpoint. */
    protected abstract byte[] createBody();

    /** Reports to the caller that no attempt succeeded. */
    protected abstract void reportFailure(ProblemDetail problem);

    protected final CallContext getContext() {
        return context;
    }

    protected final CallDependencies getDependencies() {
        return dependencies;
    }

    /** Returns the blocks of the prompt, which is empty for plain services. */
    protected final PromptPrefix getPrefix() {
        return prompt.prefix();
    }

    protected final boolean isRetry() {
        return attemptCount > 0;
    }

    /** Records that the endpoint began to answer. */
    protected final synchronized void recordAnswer() {
        if (!hasAnswer) {
            hasAnswer = true;
            isTrial = false;
            dependencies.promptGuard().recordAnswer(prompt, sentMs);
        }
    }

    /** Records that the endpoint began to answer, if its response is a success. */
    protected final void recordAnswerOf(ResponseHead head) {
        if (head.isSuccess()) {
            recordAnswer();
        }
    }

    /** Ends the call without a further attempt and credits its service's retry budget. */
    protected final synchronized void finishWithoutRetry(AttemptReport report) {
        releaseReservation(report);
        ended = true;
        dependencies.retryPolicy().recordSuccess(context.getTarget().service());
    }

    /** Releases the failed attempt, then retries on another endpoint or fails the call. */
    protected final void retryOrFail(EndpointFailureException failure, AttemptReport report) {
        synchronized (this) {
            if (ended) {
                return;
            }
            failedEndpoints.add(reservation.getEndpoint());
            LOGGER.atInfo()
                    .addKeyValue("requestId", context.getRequestId())
                    .addKeyValue("traceId", context.getSpan().getSpanContext().getTraceId())
                    .addKeyValue("endpoint", reservation.getEndpoint())
                    .addKeyValue("attempt", attemptCount)
                    .log("attempt failed: {}", failure.getMessage());
            boolean wasCanary = reservation.isCanary();
            mayHaveRun |= !failure.isNotSent();
            boolean isSuspect = recordLoss(failure);
            releaseReservation(report);
            if (isSuspect) {
                ended = true;
                reportFailure(createSuspectProblem(failure));
                return;
            }
            if (!mayRetry(wasCanary)) {
                ended = true;
                reportFailure(createProblem(failure));
                return;
            }
        }
        placeNextAttempt();
    }

    /** Closes the attempt's connection, then retries on another endpoint or fails the call. */
    protected final void cancelAttemptAndRetry(
            EndpointFailureException failure, AttemptReport report) {
        cancelAttempt();
        retryOrFail(failure, report);
    }

    /** Closes the attempt's connection. */
    protected final void cancelAttempt() {
        EndpointAttempt currentAttempt;
        synchronized (this) {
            currentAttempt = attempt;
        }
        if (currentAttempt != null) {
            currentAttempt.cancel();
        }
    }

    private void placeNextAttempt() {
        long rejectionMs = dependencies.promptGuard().getRejectionMs(prompt);
        if (rejectionMs > 0) {
            synchronized (this) {
                if (!ended) {
                    reject(rejectionMs);
                }
            }
            return;
        }
        PendingPlacement newPlacement =
                dependencies
                        .placement()
                        .place(createPlacementRequest(Set.copyOf(failedEndpoints)), this);
        synchronized (this) {
            pendingPlacement = newPlacement;
            if (ended) {
                newPlacement.cancel();
            }
        }
    }

    private synchronized void startAttempt(
            EndpointReservation newReservation, TrialDecision decision) {
        isTrial = decision.kind() == TrialDecision.Kind.TRIAL;
        if (ended) {
            releaseTrial();
            return;
        }
        if (!decision.maySend()) {
            reservation = null;
            newReservation.release(AttemptReport.ABANDONED);
            reject(decision.retryAfterMs());
            return;
        }
        attemptCount++;
        sentMs = dependencies.timeSource().monotonicMs();
        EndpointResponseListener listener = createListener(newReservation);
        EndpointAttempt startedAttempt =
                dependencies
                        .dispatcher()
                        .start(context, newReservation, getRequestTarget(), createBody(), listener);
        if (reservation == newReservation) {
            attempt = startedAttempt;
        }
    }

    /** Ends a call whose prompt is quarantined. */
    private void reject(long retryAfterMs) {
        ended = true;
        boolean isNotRun = !mayHaveRun;
        reportFailure(
                new ProblemDetail(
                        isNotRun ? 503 : 502,
                        "prompt-quarantined",
                        "Prompt quarantined",
                        "endpoints crashed on requests whose prompts begin like this one, so that"
                                + " such requests are tried one at a time: retry later, or change"
                                + " the prompt",
                        isNotRun ? ExecutionStatus.NOT_RUN : ExecutionStatus.UNKNOWN,
                        OptionalLong.of((retryAfterMs + 999) / 1_000)));
    }

    /** Returns whether the attempt was lost with its endpoint, perhaps because of its prompt. */
    private boolean recordLoss(EndpointFailureException failure) {
        boolean isLost =
                failure.getKind() == Kind.CONNECTION_LOST
                        || failure.getKind() == Kind.TRUNCATED_ANSWER;
        if (!isLost || hasAnswer) {
            return false;
        }
        isTrial = false;
        return dependencies
                .promptGuard()
                .recordLoss(prompt, reservation.getEndpoint() + "/" + reservation.getIncarnation());
    }

    private void releaseTrial() {
        if (isTrial) {
            isTrial = false;
            dependencies.promptGuard().releaseTrial(prompt);
        }
    }

    private void cancel() {
        EndpointAttempt currentAttempt;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            currentAttempt = attempt;
            if (pendingPlacement != null) {
                pendingPlacement.cancel();
            }
            releaseReservation(AttemptReport.ABANDONED);
        }
        if (currentAttempt != null) {
            currentAttempt.cancel();
        }
        context.end(
                CallOutcome.CANCELLED,
                "the caller closed the connection before the response was complete");
    }

    /**
     * Returns whether another attempt may be made. A retry of an attempt on a canary version does
     * not count against the retry budget: it goes to the old version, and the canary's share of the
     * traffic bounds the number of such retries.
     */
    private boolean mayRetry(boolean wasCanary) {
        return attemptCount < MAX_ATTEMPTS
                && context.getElapsedMs() < MAX_RETRY_PERIOD_MS
                && (wasCanary
                        || dependencies.retryPolicy().tryRetry(context.getTarget().service()));
    }

    private void releaseReservation(AttemptReport report) {
        releaseTrial();
        if (reservation != null) {
            context.countAttempt(report.result());
            reservation.release(report);
            reservation = null;
            attempt = null;
        }
    }

    private ProblemDetail createSuspectProblem(EndpointFailureException failure) {
        return new ProblemDetail(
                502,
                "endpoint-lost",
                "Endpoint lost",
                String.format(
                        "the endpoint was lost before it answered and no prompt that begins like"
                                + " this one has been answered, so that it was not sent to another"
                                + " endpoint: %s; retry the call",
                        failure.getMessage()),
                ExecutionStatus.UNKNOWN,
                OptionalLong.of(1));
    }

    private ProblemDetail createProblem(EndpointFailureException failure) {
        ExecutionStatus execution = mayHaveRun ? ExecutionStatus.UNKNOWN : ExecutionStatus.NOT_RUN;
        return new ProblemDetail(
                502,
                "endpoints-failed",
                "Endpoints failed",
                String.format(
                        "%d attempts failed, the last one with: %s; retry the call",
                        attemptCount, failure.getMessage()),
                execution,
                OptionalLong.of(1));
    }
}
