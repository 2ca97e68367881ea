package org.cardamomthread.daemon.forwarding;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dialect.AnswerHead;
import org.cardamomthread.daemon.dialect.AttemptHead;
import org.cardamomthread.daemon.dispatch.AnswerForm;
import org.cardamomthread.daemon.dispatch.EndpointAttempt;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.EndpointRequest;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.http.HttpCall;
import org.cardamomthread.daemon.http.HttpExchange;

/**
 * Carries one admitted request to an endpoint and its answer back.
 *
 * <p>Invariants: a request that may not run again is sent to a second endpoint only when the first
 * has stated that it did not run it, or nothing was sent; a status that promises "not run" is given
 * only when no attempt can have run; of an answer only whole events, or the whole body, reach the
 * caller as complete. Runs on one event loop.
 */
final class ForwardedCall {

    private static final String LAST_EVENT_ID = "last-event-id";

    /** Connections tried in vain before the request is refused as not run. */
    private static final int MAX_UNSENT_ATTEMPTS = 3;

    /** Pause for a client whose request found its endpoints full, about one short request. */
    private static final long UNAVAILABLE_RETRY_AFTER_MS = 300;

    private static final int STATUS_OK = 200;
    private static final int STATUS_SUCCESS_END = 300;
    private static final int STATUS_SERVER_ERROR = 500;

    private final ForwardingContext context;
    private final HttpExchange exchange;
    private final AdmittedRequest request;
    private final ResponseRelay relay;
    private final Set<EndpointId> triedEndpoints = new HashSet<>();
    private ScheduledFuture<?> deadline;
    private EndpointAttempt currentAttempt;
    private int attemptCount;
    private int unsentAttempts;
    private boolean mayHaveRun;
    private boolean isUsageCounted;
    private boolean finished;
    private long firstByteMs;

    ForwardedCall(ForwardingContext services, HttpExchange exchange, AdmittedRequest request) {
        this.context = services;
        this.exchange = exchange;
        this.request = request;
        this.relay = new ResponseRelay(exchange, request.route().repeatability());
    }

    void start() {
        long remainingMs = request.deadlineMs() - context.timeSource().monotonicMs();
        deadline = context.loop().schedule(this::onDeadline, remainingMs, TimeUnit.MILLISECONDS);
        context.serviceLoads().recordStart(request.service().id(), request.head().promptTokens());
        exchange.onDisconnect(() -> runOnLoop(this::onClientDisconnect));
        if (!finished) {
            tryNextEndpoint();
        }
    }

    private void tryNextEndpoint() {
        long remainingMs = request.deadlineMs() - context.timeSource().monotonicMs();
        if (remainingMs <= 0) {
            onDeadline();
            return;
        }
        Optional<EndpointState> chosen =
                context.endpointSelector()
                        .select(
                                request.view(),
                                request.service(),
                                request.affinityKey(),
                                triedEndpoints);
        if (chosen.isEmpty()) {
            failWith("no-endpoint", "no endpoint of the service can take it: send it again later");
            return;
        }
        if (attemptCount > 0 && !context.retryBudget().tryTakeRetry(request.service().id())) {
            failWith("no-repeat", "the budget for repeated sends is used up: send it again later");
            return;
        }
        send(chosen.get(), remainingMs);
    }

    private void send(EndpointState state, long remainingMs) {
        triedEndpoints.add(state.id());
        state.recordStart();
        HttpCall call = exchange.getCall();
        AttemptHead head =
                new AttemptHead(
                        state.id(),
                        remainingMs,
                        request.account().map(account -> account.id()),
                        request.enginePriority());
        HttpHeaders headers = context.dialect().encodeRequest(call.headers(), head);
        relay.lastEventId().ifPresent(id -> headers.set(LAST_EVENT_ID, id));
        EndpointRequest attempt =
                new EndpointRequest(
                        state.endpoint().report().address().toString(),
                        call.method(),
                        call.getTarget(),
                        headers,
                        call.body(),
                        request.head().requestId(),
                        !request.route().repeatability().isStream()
                                && request.route().repeatability().mayRunAgain(),
                        remainingMs,
                        remainingMs,
                        this::maySend,
                        new AnswerForm(context.dialect().correlationHeader(), true, true));
        AttemptListener listener = new AttemptListener(state);
        EndpointAttempt started = context.client().start(attempt, listener);
        if (!listener.done) {
            currentAttempt = started;
        }
    }

    /** A request with a key must not leave once the view has become too old to trust the key. */
    private boolean maySend() {
        return request.account().isEmpty() || context.viewLease().isHeld();
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        relay.abort();
        finish(
                "timeout",
                GatewayError.of(
                        504,
                        "timeout",
                        "No answer in time",
                        "the answer was not complete within the time limit of the request"));
    }

    private void onClientDisconnect() {
        if (!finished) {
            finish("abandoned", null);
        }
    }

    /** Ends with the strongest statement that is true of what has happened so far. */
    private void failWith(String reason, String detail) {
        if (relay.hasStarted()) {
            relay.abort();
            finish(reason, null);
        } else if (mayHaveRun) {
            finish(reason, GatewayError.of(502, reason, "No usable answer", detail));
        } else {
            finish(reason, GatewayError.unavailable(reason, detail, UNAVAILABLE_RETRY_AFTER_MS));
        }
    }

    private void finish(String outcome, GatewayError refusal) {
        finished = true;
        context.serviceLoads().recordEnd(request.service().id());
        deadline.cancel(false);
        if (currentAttempt != null) {
            currentAttempt.cancel();
        }
        if (!mayHaveRun) {
            request.account()
                    .ifPresent(
                            account ->
                                    context.quotaShares().refund(account, request.quotaAmount()));
        }
        if (refusal != null && !relay.hasStarted()) {
            exchange.respond(
                    GatewayErrorRenderer.toReply(context.dialect(), request.head(), refusal));
        }
        recordOutcome(outcome);
    }

    private void recordOutcome(String outcome) {
        long elapsedMs = context.timeSource().monotonicMs() - request.receivedMs();
        context.metrics().end(request.service().id(), outcome, elapsedMs);
        context.forwardingLog()
                .logCompletion(
                        request, outcome, attemptCount, triedEndpoints, firstByteMs, elapsedMs);
    }

    private boolean mayRetry() {
        return attemptCount < request.route().maxAttempts()
                && (!mayHaveRun || request.route().repeatability().mayRunAgain());
    }

    private void runOnLoop(Runnable step) {
        if (context.loop().inEventLoop()) {
            step.run();
        } else {
            context.loop().execute(step);
        }
    }

    /** Follows one attempt; its events may come from the timer's thread. */
    private final class AttemptListener implements EndpointResponseListener {

        private final EndpointState state;
        private final long startedMs = context.timeSource().monotonicMs();
        private int status;
        private HttpHeaders headers;
        private AnswerHead head;
        private boolean done;

        AttemptListener(EndpointState state) {
            this.state = state;
        }

        @Override
        public void onHead(int answeredStatus, HttpHeaders answeredHeaders) {
            runOnLoop(
                    () -> {
                        status = answeredStatus;
                        headers = answeredHeaders;
                        head = context.dialect().decodeAnswer(status, headers);
                        handleHead();
                    });
        }

        @Override
        public void onPart(byte[] part) {
            runOnLoop(
                    () -> {
                        if (done || finished) {
                            return;
                        }
                        if (isStreaming()) {
                            relay.stream(status, context.dialect().encodeAnswer(headers), part);
                        } else {
                            relay.buffer(part);
                        }
                    });
        }

        @Override
        public void onComplete() {
            runOnLoop(this::handleComplete);
        }

        @Override
        public void onFailure(EndpointFailureException failure) {
            runOnLoop(() -> handleFailure(failure));
        }

        private boolean isStreaming() {
            return request.route().repeatability().isStream() && isSuccess();
        }

        private boolean isSuccess() {
            return status >= STATUS_OK && status < STATUS_SUCCESS_END && head.isSigned();
        }

        private void handleHead() {
            long nowMs = context.timeSource().monotonicMs();
            head.load().ifPresent(load -> state.updateLoad(load, nowMs));
            firstByteMs = nowMs - request.receivedMs();
            head.coldMs().ifPresent(coldMs -> state.extendCold(nowMs + coldMs));
            countAttempt();
            if (!head.isNotRun()) {
                mayHaveRun = true;
            }
            if (isSuccess() && !isUsageCounted) {
                isUsageCounted = true;
                context.serviceLoads()
                        .recordFirstToken(
                                request.service().id(),
                                request.head().promptTokens(),
                                nowMs - startedMs);
                request.account().ifPresent(account -> context.usageCounter().count(account.id()));
            }
        }

        private void countAttempt() {
            if (attemptCount == 0) {
                context.retryBudget().recordFirstAttempt(request.service().id());
            }
            attemptCount++;
        }

        private void markDone() {
            if (!done) {
                done = true;
                state.recordEnd();
            }
        }

        private void handleComplete() {
            markDone();
            if (finished) {
                return;
            }
            if (head.isNotRun()) {
                handleNotRun();
                return;
            }
            recordResult(status >= STATUS_SERVER_ERROR || !head.isSigned());
            if (isSuccess()) {
                currentAttempt = null;
                relay.finish(status, context.dialect().encodeAnswer(headers));
                finish("answered", null);
            } else if (isRetryableFailure()) {
                relay.discardUndelivered();
                tryNextEndpoint();
            } else {
                forwardFailure();
            }
        }

        private boolean isRetryableFailure() {
            boolean isOwnFailure = status >= STATUS_SERVER_ERROR || status < STATUS_SUCCESS_END;
            return isOwnFailure && mayRetry();
        }

        private void forwardFailure() {
            currentAttempt = null;
            if (status < STATUS_SUCCESS_END) {
                failWith("unsigned-answer", "the endpoint's answer bears no signature");
                return;
            }
            relay.finish(status, context.dialect().encodeAnswer(headers));
            finish("endpoint-failure", null);
        }

        private void handleNotRun() {
            context.metrics().countAttempt(request.service().id(), "not-run");
            context.forwardingLog()
                    .logFailedAttempt(request, state.id(), "not-run", "status " + status);
            relay.discardUndelivered();
            if (mayRetry()) {
                tryNextEndpoint();
            } else {
                failWith(
                        "endpoints-full",
                        "the endpoint took no more requests: send it again later");
            }
        }

        private void handleFailure(EndpointFailureException failure) {
            markDone();
            if (finished) {
                return;
            }
            String kind = failure.getKind().name().toLowerCase(Locale.ROOT);
            context.metrics().countAttempt(request.service().id(), kind);
            context.forwardingLog()
                    .logFailedAttempt(
                            request, state.id(), kind, String.valueOf(failure.getMessage()));
            if (failure.isCertainlyNotRun()) {
                state.recordConnectionFailure(context.timeSource().monotonicMs());
                retryAfterUnsentAttempt();
                return;
            }
            if (head == null) {
                countAttempt();
            }
            mayHaveRun = true;
            recordResult(true);
            if (failure.getKind() == Kind.CONNECTION_LOST) {
                state.recordConnectionFailure(context.timeSource().monotonicMs());
            }
            relay.discardUndelivered();
            if (mayRetry() && failure.getKind() != Kind.FIRST_BYTE_TIMEOUT) {
                tryNextEndpoint();
            } else {
                failWith("attempt-failed", "the endpoint's answer was lost: it may have run");
            }
        }

        private void retryAfterUnsentAttempt() {
            unsentAttempts++;
            boolean isLeaseLost = !maySend();
            if (unsentAttempts < MAX_UNSENT_ATTEMPTS && !isLeaseLost) {
                tryNextEndpoint();
            } else {
                failWith(
                        "not-sent", "no connection to an endpoint came about: send it again later");
            }
        }

        private void recordResult(boolean isFailure) {
            long nowMs = context.timeSource().monotonicMs();
            double usual = context.endpoints().medianFailureRate(request.service().id());
            state.recordResult(isFailure, usual, nowMs);
            long elapsedMs = nowMs - startedMs;
            context.versionResults()
                    .count(
                            request.service().id(),
                            state.endpoint().report().version(),
                            isFailure,
                            elapsedMs);
        }
    }
}
