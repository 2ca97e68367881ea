package org.cardamomthread.daemon.forwarding;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.configuration.traffic.generated.MoveStage;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.daemon.dialect.AttemptHead;
import org.cardamomthread.daemon.dialect.EndpointResponseHead;
import org.cardamomthread.daemon.dispatch.EndpointAttempt;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.EndpointRequest;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.dispatch.ResponseAcceptancePolicy;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.ServerRequest;

/**
 * Forwards one admitted request to endpoints and relays the response to the client.
 *
 * <p>Invariants: a request that must not run twice is sent to a second endpoint only if the first
 * stated that it did not run it, or if nothing was sent. A status that guarantees "not run" is
 * returned only if no attempt can have run. Only complete events, or a complete body, reach the
 * client as complete. Runs on one event loop.
 */
final class ForwardedCall {

    private static final String LAST_EVENT_ID = "last-event-id";

    /** Number of attempts without a connection after which the request is rejected as not run. */
    private static final int MAX_UNSENT_ATTEMPTS = 3;

    /**
     * Retry delay for a request that no endpoint could take: about the duration of a short request.
     */
    private static final long UNAVAILABLE_RETRY_AFTER_MS = 300;

    private static final int STATUS_OK = 200;
    private static final int STATUS_SUCCESS_END = 300;
    private static final int STATUS_SERVER_ERROR = 500;

    private final ForwardingContext context;
    private final HttpExchange exchange;
    private final AdmittedRequest request;
    private final ResponseRelay relay;
    private final ReadPacer readPacer;
    private final Set<EndpointId> triedEndpoints = new HashSet<>();
    private ScheduledFuture<?> deadline;
    private EndpointAttempt currentAttempt;
    private int attemptCount;
    private int unsentAttempts;
    private boolean mayHaveRun;
    private boolean isUsageCounted;
    private boolean finished;
    private long firstByteMs;

    ForwardedCall(ForwardingContext context, HttpExchange exchange, AdmittedRequest request) {
        this.context = context;
        this.exchange = exchange;
        this.request = request;
        this.relay = new ResponseRelay(exchange, request.route().requestKind());
        this.readPacer = new ReadPacer(relay, context.loop());
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
        Optional<TrackedEndpoint> selected =
                context.endpointSelector()
                        .select(
                                request.view(),
                                request.service(),
                                request.affinityKey(),
                                triedEndpoints);
        if (selected.isEmpty()) {
            failWith(
                    "no-endpoint",
                    "no endpoint of the service can take the request: send it again later");
            return;
        }
        if (attemptCount > 0 && !context.retryBudget().tryConsumeRetry(request.service().id())) {
            failWith(
                    "no-repeat",
                    "the retry budget of the service is exhausted: send the request again later");
            return;
        }
        send(selected.get(), remainingMs);
    }

    private void send(TrackedEndpoint endpoint, long remainingMs) {
        triedEndpoints.add(endpoint.id());
        endpoint.recordStart();
        ServerRequest clientRequest = exchange.getRequest();
        AttemptHead head =
                new AttemptHead(
                        endpoint.id(),
                        remainingMs,
                        request.account().map(account -> account.id()),
                        request.enginePriority());
        HttpHeaders headers = context.dialect().encodeRequestHeaders(clientRequest.headers(), head);
        relay.lastEventId().ifPresent(id -> headers.set(LAST_EVENT_ID, id));
        EndpointRequest attempt =
                new EndpointRequest(
                        endpoint.knownEndpoint().report().address().toString(),
                        clientRequest.method(),
                        clientRequest.getRequestTarget(),
                        headers,
                        clientRequest.body(),
                        request.head().requestId(),
                        !request.route().requestKind().isStream()
                                && request.route().requestKind().isRetryable(),
                        remainingMs,
                        remainingMs,
                        this::maySend,
                        new ResponseAcceptancePolicy(
                                context.dialect().correlationHeader(), true, true));
        AttemptListener listener = new AttemptListener(endpoint);
        EndpointAttempt started = context.client().start(attempt, listener);
        if (listener.done) {
            started.cancel();
        } else {
            currentAttempt = started;
        }
    }

    /**
     * Returns whether the request may still be sent. A request with a key must not be sent once the
     * view is too old to know that the key has not been revoked.
     */
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
                        "the response was not complete within the time limit of the request"));
    }

    private void onClientDisconnect() {
        if (!finished) {
            finish("abandoned", null);
        }
    }

    /**
     * Fails the request with the strongest guarantee that still holds: not run, may have run, or an
     * aborted response.
     */
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

    private void finish(String outcome, GatewayError error) {
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
        if (error != null && !relay.hasStarted()) {
            exchange.respond(
                    GatewayErrorRenderer.toResponse(context.dialect(), request.head(), error));
        }
        recordOutcome(outcome);
    }

    private void recordOutcome(String outcome) {
        long elapsedMs = context.timeSource().monotonicMs() - request.receivedMs();
        context.metrics().endRequest(request.service().id(), outcome, elapsedMs);
        context.forwardingLog()
                .logCompletion(
                        request, outcome, attemptCount, triedEndpoints, firstByteMs, elapsedMs);
    }

    private boolean mayRetry() {
        return attemptCount < request.route().maxAttempts()
                && relay.mayResume()
                && (!mayHaveRun || request.route().requestKind().isRetryable());
    }

    private boolean isCanary(VersionId version) {
        VersionMoveState move = request.view().versionMoves().get(request.service().id());
        return move != null
                && (move.getStage() == MoveStage.RUNNING || move.getStage() == MoveStage.PROMOTED)
                && move.getTarget().equals(version.value());
    }

    private void runOnLoop(Runnable task) {
        if (context.loop().inEventLoop()) {
            task.run();
        } else {
            context.loop().execute(task);
        }
    }

    /** Handles the events of one attempt, which may arrive on the timer thread. */
    private final class AttemptListener implements EndpointResponseListener {

        private final TrackedEndpoint endpoint;
        private final long startedMs = context.timeSource().monotonicMs();
        private final VersionResultCounter.Attempt measurement;
        private int status;
        private HttpHeaders headers;
        private EndpointResponseHead head;
        private boolean done;

        AttemptListener(TrackedEndpoint endpoint) {
            this.endpoint = endpoint;
            VersionId version = endpoint.knownEndpoint().report().version();
            measurement =
                    context.versionResults()
                            .start(
                                    request.service().id(),
                                    version,
                                    request.route().id(),
                                    !endpoint.isCold(startedMs),
                                    !isCanary(version));
        }

        @Override
        public void onHead(int receivedStatus, HttpHeaders receivedHeaders) {
            runOnLoop(
                    () -> {
                        status = receivedStatus;
                        headers = receivedHeaders;
                        head = context.dialect().decodeResponseHead(status, headers);
                        handleHead();
                    });
        }

        @Override
        public void onBodyPart(byte[] chunk) {
            runOnLoop(
                    () -> {
                        if (done || finished) {
                            return;
                        }
                        handleBodyPart(chunk);
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

        private void handleBodyPart(byte[] chunk) {
            boolean isStream = request.route().requestKind().isStream() || relay.hasStarted();
            if (isSuccess() && isStream) {
                HttpHeaders clientHeaders = context.dialect().encodeResponseHeaders(headers);
                if (!relay.stream(status, clientHeaders, chunk)) {
                    rejectResponse(
                            Kind.BROKEN_SEQUENCE,
                            "an event does not follow the last one, which has id "
                                    + relay.lastEventId().orElse("none"));
                    return;
                }
            } else {
                relay.buffer(chunk);
            }
            if (relay.isFull() && isSuccess() && !isStream) {
                relay.streamBuffered(status, context.dialect().encodeResponseHeaders(headers));
            } else if (relay.isFull()) {
                rejectResponse(
                        Kind.OVERSIZED_ANSWER,
                        "more than "
                                + ResponseRelay.MAX_BUFFERED_BYTES
                                + " bytes arrived that complete no response and no event");
                return;
            }
            if (currentAttempt != null) {
                readPacer.pauseIfClientIsSlow(currentAttempt);
            }
        }

        private void rejectResponse(Kind kind, String detail) {
            EndpointAttempt rejected = currentAttempt;
            handleFailure(createFailure(kind, detail));
            if (rejected != null) {
                rejected.cancel();
            }
        }

        private EndpointFailureException createFailure(Kind kind, String detail) {
            String address = endpoint.knownEndpoint().report().address().toString();
            return new EndpointFailureException(kind, address, detail, null);
        }

        private boolean isSuccess() {
            return status >= STATUS_OK && status < STATUS_SUCCESS_END && head.isSigned();
        }

        private void handleHead() {
            long nowMs = context.timeSource().monotonicMs();
            head.load().ifPresent(load -> endpoint.updateLoad(load, nowMs));
            firstByteMs = nowMs - request.receivedMs();
            measurement.recordFirstByte();
            head.coldMs().ifPresent(coldMs -> endpoint.extendCold(nowMs + coldMs));
            countAttempt();
            if (!head.isNotRun()) {
                mayHaveRun = true;
            }
            if (isSuccess() && !relay.beginSuccess(status, headers)) {
                rejectResponse(
                        Kind.BROKEN_SEQUENCE,
                        "the response to a resumed request is no event stream: status " + status);
                return;
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
                endpoint.recordEnd();
            }
            if (finished) {
                measurement.recordNoResult();
            }
        }

        private void handleComplete() {
            if (done) {
                return;
            }
            if (!finished && isSuccess() && !relay.isWhole()) {
                handleFailure(
                        createFailure(
                                Kind.TRUNCATED_ANSWER,
                                "the stream ended inside an event, or without one"));
                return;
            }
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
                relay.finish(status, context.dialect().encodeResponseHeaders(headers));
                finish("answered", null);
            } else if (isRetryableFailure()) {
                relay.discardUndelivered();
                tryNextEndpoint();
            } else {
                forwardFailure();
            }
        }

        private boolean isRetryableFailure() {
            boolean isEndpointFailure =
                    status >= STATUS_SERVER_ERROR || status < STATUS_SUCCESS_END;
            return isEndpointFailure && mayRetry();
        }

        private void forwardFailure() {
            currentAttempt = null;
            if (status < STATUS_SUCCESS_END) {
                failWith("unsigned-answer", "the response of the endpoint is not signed");
                return;
            }
            if (relay.hasStarted()) {
                String detail = "the endpoint answered with status " + status;
                context.forwardingLog()
                        .logFailedAttempt(request, endpoint.id(), "not-resumed", detail);
                failWith("stream-not-resumed", detail);
                return;
            }
            relay.finish(status, context.dialect().encodeResponseHeaders(headers));
            finish("endpoint-failure", null);
        }

        private void handleNotRun() {
            measurement.recordNoResult();
            context.metrics().countAttempt(request.service().id(), "not-run");
            context.forwardingLog()
                    .logFailedAttempt(request, endpoint.id(), "not-run", "status " + status);
            relay.discardUndelivered();
            if (mayRetry()) {
                tryNextEndpoint();
            } else {
                failWith(
                        "endpoints-full",
                        "the endpoints accept no more requests at the moment: send the request"
                                + " again later");
            }
        }

        private void handleFailure(EndpointFailureException failure) {
            if (done) {
                return;
            }
            markDone();
            if (finished) {
                return;
            }
            String kind = failure.getKind().name().toLowerCase(Locale.ROOT);
            context.metrics().countAttempt(request.service().id(), kind);
            context.forwardingLog()
                    .logFailedAttempt(
                            request, endpoint.id(), kind, String.valueOf(failure.getMessage()));
            if (failure.isNotSent()) {
                measurement.recordNoResult();
                endpoint.recordConnectionFailure(context.timeSource().monotonicMs());
                retryAfterUnsentAttempt();
                return;
            }
            if (head == null) {
                countAttempt();
            }
            mayHaveRun = true;
            recordResult(true);
            if (failure.getKind() == Kind.CONNECTION_LOST) {
                endpoint.recordConnectionFailure(context.timeSource().monotonicMs());
            }
            relay.discardUndelivered();
            if (mayRetry() && failure.getKind() != Kind.FIRST_BYTE_TIMEOUT) {
                tryNextEndpoint();
            } else {
                failWith(
                        "attempt-failed",
                        "the response of the endpoint was lost: the request may have run");
            }
        }

        private void retryAfterUnsentAttempt() {
            unsentAttempts++;
            boolean isViewLeaseLost = !maySend();
            if (unsentAttempts < MAX_UNSENT_ATTEMPTS && !isViewLeaseLost) {
                tryNextEndpoint();
            } else {
                failWith(
                        "not-sent",
                        "no connection to an endpoint could be established: send the request"
                                + " again later");
            }
        }

        private void recordResult(boolean isFailure) {
            long nowMs = context.timeSource().monotonicMs();
            double medianRate = context.endpoints().medianFailureRate(request.service().id());
            endpoint.recordResult(isFailure, medianRate, nowMs);
            measurement.recordResult(isFailure);
        }
    }
}
