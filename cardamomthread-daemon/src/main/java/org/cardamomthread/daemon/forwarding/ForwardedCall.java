package org.cardamomthread.daemon.forwarding;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dialect.AttemptHead;
import org.cardamomthread.daemon.dispatch.EndpointAttempt;
import org.cardamomthread.daemon.dispatch.EndpointRequest;
import org.cardamomthread.daemon.dispatch.ResponseAcceptancePolicy;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.ServerRequest;
import org.cardamomthread.policy.quarantine.TrialDecision;

/**
 * Forwards one admitted request to endpoints and relays the response to the client.
 *
 * <p>Invariants: a request that must not run twice is sent to a second endpoint only if the first
 * stated that it did not run it, or if nothing was sent. A status that guarantees "not run" is
 * returned only if no attempt can have run, except that an endpoint's own status is passed on for a
 * request that may run twice. Only complete events, or a complete body, reach the client as
 * complete. Runs on one event loop.
 */
final class ForwardedCall {

    private static final String LAST_EVENT_ID = "last-event-id";

    /** Number of attempts without a connection after which the request is rejected as not run. */
    private static final int MAX_UNSENT_ATTEMPTS = 3;

    private final ForwardingContext context;
    private final HttpExchange exchange;
    private final AdmittedRequest request;
    private final ResponseRelay relay;
    private final ReadPacer readPacer;
    private final PromptPartTrial trial;
    private final Set<EndpointId> triedEndpoints = new HashSet<>();
    private final Set<EndpointId> excludedEndpoints = new HashSet<>();
    private ScheduledFuture<?> deadline;
    private EndpointAttempt currentAttempt;
    private int attemptCount;
    private int unsentAttempts;
    private boolean mayHaveRun;
    private boolean isUsageCounted;
    private boolean hasWaited;
    private boolean hasRetryPermit;
    private boolean finished;
    private long firstByteMs;

    ForwardedCall(ForwardingContext context, HttpExchange exchange, AdmittedRequest request) {
        this.context = context;
        this.exchange = exchange;
        this.request = request;
        this.relay =
                new ResponseRelay(
                        exchange, request.route().requestKind(), context.heldBytesBudget());
        this.readPacer = new ReadPacer(relay, context.loop());
        this.trial = new PromptPartTrial(context, request);
    }

    void start() {
        long remainingMs = request.deadlineMs() - context.timeSource().monotonicMs();
        deadline = context.loop().schedule(this::onDeadline, remainingMs, TimeUnit.MILLISECONDS);
        context.serviceLoads().recordStart(request.service().id(), request.head().promptTokens());
        context.openCalls().add(this);
        exchange.onDisconnect(() -> runOnLoop(this::onClientDisconnect));
        if (!finished) {
            tryNextEndpoint();
        }
    }

    /** Sends the request to another endpoint, unless a part of its prompt is quarantined. */
    void tryNextEndpoint() {
        trial.decide(this::handleTrialDecision);
    }

    private void handleTrialDecision(TrialDecision decision) {
        if (finished) {
            trial.release();
        } else if (decision.maySend()) {
            selectEndpoint();
        } else {
            failWith(
                    "prompt-part-quarantined",
                    "endpoints were lost with requests that have a part of this prompt: send the"
                            + " request again after the given delay",
                    decision.retryAfterMs());
        }
    }

    private void selectEndpoint() {
        long remainingMs = request.deadlineMs() - context.timeSource().monotonicMs();
        if (remainingMs <= 0) {
            onDeadline();
            return;
        }
        // A request that may have run could not be refused as not run, so that it does not wait.
        boolean mayWait = !hasWaited && !mayHaveRun && !relay.hasStarted();
        hasWaited = false;
        if (mayWait && context.waitingRooms().mustWait(request.service().id())) {
            if (takeRetryPermit()) {
                currentAttempt = null;
                trial.release();
                context.waitingRooms().enter(this, request, exchange.getRequest());
            }
            return;
        }
        Optional<TrackedEndpoint> selected =
                context.endpointSelector()
                        .select(
                                request,
                                trial.isOnTrial() ? Optional.empty() : request.affinityKey(),
                                excludedEndpoints);
        if (selected.isEmpty()) {
            failWith(
                    "no-endpoint",
                    "no endpoint of the service can take the request: send it again later");
            return;
        }
        if (takeRetryPermit()) {
            hasRetryPermit = false;
            send(selected.get(), remainingMs);
        }
    }

    /** Takes a permit if the next attempt is a retry, or fails the request if there is none. */
    private boolean takeRetryPermit() {
        hasRetryPermit =
                hasRetryPermit
                        || attemptCount == 0
                        || context.retryBudget().tryConsumeRetry(request.service().id());
        if (!hasRetryPermit) {
            failWith(
                    "no-repeat",
                    "the retry budget of the service is exhausted: send the request again later");
        }
        return hasRetryPermit;
    }

    /**
     * Goes on after the request has waited. The endpoints that refused it before may have room now.
     */
    void resume() {
        hasWaited = true;
        excludedEndpoints.clear();
        tryNextEndpoint();
    }

    private void send(TrackedEndpoint endpoint, long remainingMs) {
        triedEndpoints.add(endpoint.id());
        excludedEndpoints.add(endpoint.id());
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
                        clientRequest.target(),
                        headers,
                        clientRequest.body(),
                        request.head().requestId(),
                        remainingMs,
                        remainingMs,
                        () -> maySend(endpoint),
                        new ResponseAcceptancePolicy(
                                context.dialect().correlationHeader(), true, true));
        ForwardedAttempt listener = new ForwardedAttempt(this, context, request, relay, endpoint);
        EndpointAttempt started = context.client().start(attempt, listener);
        if (listener.isDone()) {
            started.cancel();
        } else {
            currentAttempt = started;
        }
    }

    /**
     * Returns whether the request may still be sent, given what has changed since its placement.
     */
    private boolean maySend(TrackedEndpoint endpoint) {
        return isKeyCurrent()
                && context.endpoints()
                        .assess(endpoint, context.timeSource().monotonicMs())
                        .isAvailable();
    }

    /**
     * Returns false for a request with a key once the view is too old to know that the key has not
     * been revoked.
     */
    private boolean isKeyCurrent() {
        return request.account().isEmpty() || context.viewLease().isHeld();
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        if (context.waitingRooms().isWaiting(this)) {
            failWith(
                    "too-late",
                    "no endpoint could take the request within its time limit: send it again after"
                            + " the given delay");
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
    void failWith(String reason, String detail) {
        long pauseMs =
                context.endpoints()
                        .pauseMs(request.service().id(), context.timeSource().monotonicMs())
                        .orElse(0);
        long waitMs = context.waitingRooms().retryAfterMs(request.service().id());
        failWith(reason, detail, Math.max(waitMs, pauseMs));
    }

    /** Ends the call, whose current attempt counts as one that may have run. */
    void endBecauseGatewayStops() {
        mayHaveRun |= currentAttempt != null;
        failWith(
                "gateway-stopped",
                "the gateway stops before the response is complete: send the request again only if"
                        + " it may be repeated");
    }

    /** Refuses the request, which waits and has not run, for a reason other than the load. */
    void refuse(GatewayError error) {
        finish(error.type(), error);
    }

    private void failWith(String reason, String detail, long retryAfterMs) {
        if (relay.hasStarted()) {
            relay.abort();
            finish(reason, null);
        } else if (mayHaveRun) {
            finish(reason, GatewayError.of(502, reason, "No usable answer", detail));
        } else {
            finish(reason, GatewayError.unavailable(reason, detail, retryAfterMs));
        }
    }

    private void finish(String outcome, GatewayError error) {
        finished = true;
        context.waitingRooms().leave(this);
        context.openCalls().remove(this);
        context.serviceLoads().recordEnd(request.service().id());
        deadline.cancel(false);
        relay.close();
        if (currentAttempt != null) {
            currentAttempt.cancel();
        }
        trial.release();
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

    boolean mayRetry() {
        return attemptCount < request.route().maxAttempts()
                && relay.mayResume()
                && (!mayHaveRun || request.route().requestKind().isRetryable());
    }

    void retryAfterUnsentAttempt() {
        unsentAttempts++;
        if (unsentAttempts < MAX_UNSENT_ATTEMPTS && isKeyCurrent()) {
            tryNextEndpoint();
        } else {
            failWith(
                    "not-sent",
                    "no connection to an endpoint could be established: send the request"
                            + " again later");
        }
    }

    /** Completes the response to the client with the response of the current attempt. */
    void complete(String outcome, int status, HttpHeaders headers) {
        currentAttempt = null;
        relay.finish(status, context.dialect().encodeResponseHeaders(headers));
        long nowMs = context.timeSource().monotonicMs();
        context.routeDurations().record(request.route().id(), nowMs - request.receivedMs(), nowMs);
        finish(outcome, null);
    }

    /** Returns the request's part in trials of quarantined prompt parts. */
    PromptPartTrial trial() {
        return trial;
    }

    boolean isFinished() {
        return finished;
    }

    Optional<EndpointAttempt> currentAttempt() {
        return Optional.ofNullable(currentAttempt);
    }

    /** Forgets the current attempt, which has ended and need not be cancelled. */
    void forgetCurrentAttempt() {
        currentAttempt = null;
    }

    void pauseIfClientIsSlow() {
        if (currentAttempt != null) {
            readPacer.pauseIfClientIsSlow(currentAttempt);
        }
    }

    /** Counts an attempt of which the endpoint may have received the request. */
    void countAttempt() {
        if (attemptCount == 0) {
            context.retryBudget().recordFirstAttempt(request.service().id());
        }
        attemptCount++;
    }

    void recordMayHaveRun() {
        mayHaveRun = true;
    }

    void recordFirstByte(long nowMs) {
        firstByteMs = nowMs - request.receivedMs();
    }

    /** Counts the request as run, once for all attempts. */
    void recordFirstToken(long sinceSendMs) {
        if (isUsageCounted) {
            return;
        }
        isUsageCounted = true;
        context.serviceLoads()
                .recordFirstToken(
                        request.service().id(), request.head().promptTokens(), sinceSendMs);
        request.account().ifPresent(account -> context.usageCounter().count(account.id()));
    }

    void runOnLoop(Runnable task) {
        if (context.loop().inEventLoop()) {
            task.run();
        } else {
            context.loop().execute(task);
        }
    }
}
