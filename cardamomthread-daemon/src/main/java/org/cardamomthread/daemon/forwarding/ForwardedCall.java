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
    private static final long FULL_RETRY_MS = 300;

    private static final int STATUS_OK = 200;
    private static final int STATUS_AFTER_SUCCESS = 300;
    private static final int STATUS_SERVER_ERROR = 500;

    private final ForwardingServices services;
    private final HttpExchange exchange;
    private final AdmittedRequest request;
    private final AnswerRelay relay;
    private final Set<EndpointId> tried = new HashSet<>();
    private ScheduledFuture<?> deadline;
    private EndpointAttempt current;
    private int sends;
    private int unsent;
    private boolean mayHaveRun;
    private boolean hasCountedUsage;
    private boolean ended;
    private long firstByteMs;

    ForwardedCall(ForwardingServices services, HttpExchange exchange, AdmittedRequest request) {
        this.services = services;
        this.exchange = exchange;
        this.request = request;
        this.relay = new AnswerRelay(exchange, request.route().repeatability());
    }

    void start() {
        long remainingMs = request.deadlineMs() - services.timeSource().monotonicMs();
        deadline = services.loop().schedule(this::expire, remainingMs, TimeUnit.MILLISECONDS);
        services.loads().begin(request.service().id(), request.head().promptTokens());
        exchange.onDisconnect(() -> onLoop(this::abandon));
        if (!ended) {
            attempt();
        }
    }

    private void attempt() {
        long remainingMs = request.deadlineMs() - services.timeSource().monotonicMs();
        if (remainingMs <= 0) {
            expire();
            return;
        }
        Optional<EndpointState> chosen =
                services.chooser()
                        .choose(request.view(), request.service(), request.affinity(), tried);
        if (chosen.isEmpty()) {
            giveUp("no-endpoint", "no endpoint of the service can take it: send it again later");
            return;
        }
        if (sends > 0 && !services.repeats().tryRepeat(request.service().id())) {
            giveUp("no-repeat", "the budget for repeated sends is used up: send it again later");
            return;
        }
        send(chosen.get(), remainingMs);
    }

    private void send(EndpointState state, long remainingMs) {
        tried.add(state.id());
        state.begin();
        HttpCall call = exchange.getCall();
        AttemptHead head =
                new AttemptHead(
                        state.id(),
                        remainingMs,
                        request.account().map(account -> account.id()),
                        request.enginePriority());
        HttpHeaders headers = services.dialect().encodeRequest(call.headers(), head);
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
                        new AnswerForm(services.dialect().correlationHeader(), true, true));
        Attempt listener = new Attempt(state);
        EndpointAttempt started = services.client().start(attempt, listener);
        if (!listener.done) {
            current = started;
        }
    }

    /** A request with a key must not leave once the view has become too old to trust the key. */
    private boolean maySend() {
        return request.account().isEmpty() || services.lease().isHeld();
    }

    private void expire() {
        if (ended) {
            return;
        }
        relay.abort();
        end(
                "timeout",
                Refusal.of(
                        504,
                        "timeout",
                        "No answer in time",
                        "the answer was not complete within the time limit of the request"));
    }

    private void abandon() {
        if (!ended) {
            end("abandoned", null);
        }
    }

    /** Ends with the strongest statement that is true of what has happened so far. */
    private void giveUp(String reason, String detail) {
        if (relay.hasBegun()) {
            relay.abort();
            end(reason, null);
        } else if (mayHaveRun) {
            end(reason, Refusal.of(502, reason, "No usable answer", detail));
        } else {
            end(reason, Refusal.unavailable(reason, detail, FULL_RETRY_MS));
        }
    }

    private void end(String outcome, Refusal refusal) {
        ended = true;
        services.loads().end(request.service().id());
        deadline.cancel(false);
        if (current != null) {
            current.cancel();
        }
        if (!mayHaveRun) {
            request.account()
                    .ifPresent(
                            account -> services.quotas().giveBack(account, request.quotaAmount()));
        }
        if (refusal != null && !relay.hasBegun()) {
            exchange.respond(Refusals.toReply(services.dialect(), request.head(), refusal));
        }
        report(outcome);
    }

    private void report(String outcome) {
        long elapsedMs = services.timeSource().monotonicMs() - request.receivedMs();
        services.metrics().end(request.service().id(), outcome, elapsedMs);
        services.decisions().logEnd(request, outcome, sends, tried, firstByteMs, elapsedMs);
    }

    private boolean mayRepeat() {
        return sends < request.route().maxAttempts()
                && (!mayHaveRun || request.route().repeatability().mayRunAgain());
    }

    private void onLoop(Runnable step) {
        if (services.loop().inEventLoop()) {
            step.run();
        } else {
            services.loop().execute(step);
        }
    }

    /** Follows one attempt; its events may come from the timer's thread. */
    private final class Attempt implements EndpointResponseListener {

        private final EndpointState state;
        private final long startedMs = services.timeSource().monotonicMs();
        private int status;
        private HttpHeaders headers;
        private AnswerHead head;
        private boolean done;

        Attempt(EndpointState state) {
            this.state = state;
        }

        @Override
        public void onHead(int answeredStatus, HttpHeaders answeredHeaders) {
            onLoop(
                    () -> {
                        status = answeredStatus;
                        headers = answeredHeaders;
                        head = services.dialect().decodeAnswer(status, headers);
                        takeHead();
                    });
        }

        @Override
        public void onPart(byte[] part) {
            onLoop(
                    () -> {
                        if (done || ended) {
                            return;
                        }
                        if (isStreaming()) {
                            relay.stream(status, services.dialect().encodeAnswer(headers), part);
                        } else {
                            relay.collect(part);
                        }
                    });
        }

        @Override
        public void onComplete() {
            onLoop(this::complete);
        }

        @Override
        public void onFailure(EndpointFailureException failure) {
            onLoop(() -> fail(failure));
        }

        private boolean isStreaming() {
            return request.route().repeatability().isStream() && isGood();
        }

        private boolean isGood() {
            return status >= STATUS_OK && status < STATUS_AFTER_SUCCESS && head.isSigned();
        }

        private void takeHead() {
            long nowMs = services.timeSource().monotonicMs();
            head.load().ifPresent(load -> state.reportLoad(load, nowMs));
            firstByteMs = nowMs - request.receivedMs();
            head.coldMs().ifPresent(coldMs -> state.becomeCold(nowMs + coldMs));
            countSend();
            if (!head.isNotRun()) {
                mayHaveRun = true;
            }
            if (isGood() && !hasCountedUsage) {
                hasCountedUsage = true;
                services.loads()
                        .recordFirstToken(
                                request.service().id(),
                                request.head().promptTokens(),
                                nowMs - startedMs);
                request.account().ifPresent(account -> services.usage().count(account.id()));
            }
        }

        private void countSend() {
            if (sends == 0) {
                services.repeats().countFirstSend(request.service().id());
            }
            sends++;
        }

        private void close() {
            if (!done) {
                done = true;
                state.end();
            }
        }

        private void complete() {
            close();
            if (ended) {
                return;
            }
            if (head.isNotRun()) {
                refused();
                return;
            }
            countResult(status >= STATUS_SERVER_ERROR || !head.isSigned());
            if (isGood()) {
                current = null;
                relay.finish(status, services.dialect().encodeAnswer(headers));
                end("answered", null);
            } else if (isRepeatableFailure()) {
                relay.clear();
                attempt();
            } else {
                passFailureOn();
            }
        }

        private boolean isRepeatableFailure() {
            boolean isOwnFailure = status >= STATUS_SERVER_ERROR || status < STATUS_AFTER_SUCCESS;
            return isOwnFailure && mayRepeat();
        }

        private void passFailureOn() {
            current = null;
            if (status < STATUS_AFTER_SUCCESS) {
                giveUp("unsigned-answer", "the endpoint's answer bears no signature");
                return;
            }
            relay.finish(status, services.dialect().encodeAnswer(headers));
            end("endpoint-failure", null);
        }

        private void refused() {
            services.metrics().countAttempt(request.service().id(), "not-run");
            services.decisions().logAttempt(request, state.id(), "not-run", "status " + status);
            relay.clear();
            if (mayRepeat()) {
                attempt();
            } else {
                giveUp("endpoints-full", "the endpoint took no more requests: send it again later");
            }
        }

        private void fail(EndpointFailureException failure) {
            close();
            if (ended) {
                return;
            }
            String kind = failure.getKind().name().toLowerCase(Locale.ROOT);
            services.metrics().countAttempt(request.service().id(), kind);
            services.decisions()
                    .logAttempt(request, state.id(), kind, String.valueOf(failure.getMessage()));
            if (failure.isCertainlyNotRun()) {
                state.fail(services.timeSource().monotonicMs());
                retryUnsent();
                return;
            }
            if (head == null) {
                countSend();
            }
            mayHaveRun = true;
            countResult(true);
            if (failure.getKind() == Kind.CONNECTION_LOST) {
                state.fail(services.timeSource().monotonicMs());
            }
            relay.clear();
            if (mayRepeat() && failure.getKind() != Kind.FIRST_BYTE_TIMEOUT) {
                attempt();
            } else {
                giveUp("attempt-failed", "the endpoint's answer was lost: it may have run");
            }
        }

        private void retryUnsent() {
            unsent++;
            boolean isLeaseLost = !maySend();
            if (unsent < MAX_UNSENT_ATTEMPTS && !isLeaseLost) {
                attempt();
            } else {
                giveUp("not-sent", "no connection to an endpoint came about: send it again later");
            }
        }

        private void countResult(boolean isFailure) {
            long nowMs = services.timeSource().monotonicMs();
            double usual = services.table().usualFailureShare(request.service().id());
            state.recordResult(isFailure, usual, nowMs);
            long elapsedMs = nowMs - startedMs;
            services.results()
                    .count(
                            request.service().id(),
                            state.endpoint().report().version(),
                            isFailure,
                            elapsedMs);
        }
    }
}
