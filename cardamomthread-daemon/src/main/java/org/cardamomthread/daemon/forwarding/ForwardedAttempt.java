package org.cardamomthread.daemon.forwarding;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Optional;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.daemon.dialect.EndpointResponseHead;
import org.cardamomthread.daemon.dispatch.EndpointAttempt;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.http.RetryAfter;
import org.cardamomthread.policy.placement.SentRequest;

/**
 * Handles the response of one attempt of a {@link ForwardedCall}, whose events may arrive on the
 * timer thread, and tells the call how to go on.
 *
 * <p>Invariant: the call is told of one end of the attempt at most. State is confined to the event
 * loop of the call.
 */
final class ForwardedAttempt implements EndpointResponseListener {

    private static final int STATUS_OK = 200;
    private static final int STATUS_SUCCESS_END = 300;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_UNAVAILABLE = 503;

    private final ForwardedCall call;
    private final ForwardingContext context;
    private final AdmittedRequest request;
    private final ResponseRelay relay;
    private final TrackedEndpoint endpoint;
    private final long startedMs;
    private final VersionResultCounter.Attempt measurement;
    private final SentRequest sentRequest;
    private int status;
    private HttpHeaders headers;
    private EndpointResponseHead head;
    private boolean hasAnswerBegun;
    private boolean done;

    ForwardedAttempt(
            ForwardedCall call,
            ForwardingContext context,
            AdmittedRequest request,
            ResponseRelay relay,
            TrackedEndpoint endpoint) {
        this.call = call;
        this.context = context;
        this.request = request;
        this.relay = relay;
        this.endpoint = endpoint;
        startedMs = context.timeSource().monotonicMs();
        sentRequest = context.endpointSelector().recordSend(request, endpoint);
        context.waitingRooms().recordStart(request);
        VersionId version = endpoint.knownEndpoint().report().version();
        measurement =
                context.versionResults()
                        .start(
                                request.service().id(),
                                version,
                                request.route().id(),
                                !endpoint.isCold(startedMs),
                                !request.isCanary(version));
    }

    /** Returns whether the attempt has ended. */
    boolean isDone() {
        return done;
    }

    @Override
    public void onHead(int receivedStatus, HttpHeaders receivedHeaders) {
        call.runOnLoop(
                () -> {
                    status = receivedStatus;
                    headers = receivedHeaders;
                    head = context.dialect().decodeResponseHead(status, headers);
                    handleHead();
                    context.waitingRooms().startNext(request.service().id());
                });
    }

    @Override
    public void onBodyPart(byte[] chunk) {
        call.runOnLoop(
                () -> {
                    if (done || call.isFinished()) {
                        return;
                    }
                    handleBodyPart(chunk);
                });
    }

    @Override
    public void onComplete() {
        call.runOnLoop(
                () -> {
                    handleComplete();
                    context.waitingRooms().startNext(request.service().id());
                });
    }

    @Override
    public void onFailure(EndpointFailureException failure) {
        call.runOnLoop(
                () -> {
                    handleFailure(failure);
                    context.waitingRooms().startNext(request.service().id());
                });
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
            if (relay.hasEventOfAttempt()) {
                recordAnswerBegun();
            }
        } else {
            relay.buffer(chunk);
        }
        if (relay.isFull() && isSuccess() && !isStream) {
            relay.streamBuffered(status, context.dialect().encodeResponseHeaders(headers));
        } else if (relay.isFull()) {
            rejectResponse(
                    Kind.OVERSIZED_ANSWER,
                    "more bytes arrived that complete no response and no event than the maximum "
                            + ResponseRelay.MAX_BUFFERED_BYTES
                            + ", or than this gateway has memory for");
            return;
        }
        call.pauseIfClientIsSlow();
    }

    private void rejectResponse(Kind kind, String detail) {
        Optional<EndpointAttempt> rejected = call.currentAttempt();
        handleFailure(createFailure(kind, detail));
        rejected.ifPresent(EndpointAttempt::cancel);
        context.waitingRooms().startNext(request.service().id());
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
        recordStatements(nowMs);
        call.recordFirstByte(nowMs);
        measurement.recordFirstByte();
        head.coldMs().ifPresent(coldMs -> endpoint.extendCold(nowMs + coldMs));
        call.countAttempt();
        if (!head.isNotRun()) {
            call.recordMayHaveRun();
        } else if (status == STATUS_UNAVAILABLE) {
            endpoint.recordRefusal(nowMs);
        }
        if (isSuccess() && !relay.beginSuccess(status, headers)) {
            rejectResponse(
                    Kind.BROKEN_SEQUENCE,
                    "the response to a resumed request is no event stream: status " + status);
            return;
        }
        if (isSuccess()) {
            sentRequest.recordFirstToken(nowMs);
            call.recordFirstToken(nowMs - startedMs);
        }
    }

    /** Records what the response states on the requests that the endpoint wants from now on. */
    private void recordStatements(long nowMs) {
        if (head.isLeaving() && context.endpoints().recordLeaving(endpoint, nowMs)) {
            context.metrics().countEndpointStatement(request.service().id(), "leaving");
            context.forwardingLog().logLeaving(request, endpoint.knownEndpoint(), status);
        }
        if (status != STATUS_UNAVAILABLE) {
            return;
        }
        RetryAfter retryAfter = RetryAfter.of(headers);
        if (!retryAfter.ignoredValues().isEmpty()) {
            context.forwardingLog()
                    .logIgnoredRetryAfter(request, endpoint.id(), retryAfter.ignoredValues());
        }
        if (retryAfter.delayMs().isPresent()) {
            long pauseMs = retryAfter.delayMs().getAsLong();
            context.endpoints().recordPause(endpoint, pauseMs, nowMs);
            context.metrics().countEndpointStatement(request.service().id(), "pause");
            context.forwardingLog().logPause(request, endpoint.id(), pauseMs);
        }
    }

    private void markDone(boolean isComplete, boolean hasRun) {
        if (!done) {
            done = true;
            endpoint.recordEnd();
            sentRequest.recordEnd(isComplete, hasRun, context.timeSource().monotonicMs());
            context.waitingRooms().recordEnd(request, startedMs, head != null && isSuccess());
        }
        if (call.isFinished()) {
            measurement.recordNoResult();
        }
    }

    private void handleComplete() {
        if (done) {
            return;
        }
        if (!call.isFinished() && isSuccess() && !relay.isWhole()) {
            handleFailure(
                    createFailure(
                            Kind.TRUNCATED_ANSWER,
                            "the stream ended inside an event, or without one"));
            return;
        }
        markDone(isSuccess(), !head.isNotRun());
        if (call.isFinished()) {
            return;
        }
        if (head.isNotRun()) {
            handleNotRun();
            return;
        }
        recordResult(status >= STATUS_SERVER_ERROR || !head.isSigned());
        if (isSuccess()) {
            recordAnswerBegun();
            call.complete("answered", status, headers);
        } else if (isRetryableFailure()) {
            context.metrics().countAttempt(request.service().id(), "failed");
            context.forwardingLog()
                    .logFailedAttempt(request, endpoint.id(), "failed", "status " + status);
            relay.discardUndelivered();
            call.tryNextEndpoint();
        } else {
            forwardFailure();
        }
    }

    private boolean isRetryableFailure() {
        boolean isEndpointFailure = status >= STATUS_SERVER_ERROR || status < STATUS_SUCCESS_END;
        return isEndpointFailure && call.mayRetry();
    }

    private void forwardFailure() {
        call.forgetCurrentAttempt();
        if (status < STATUS_SUCCESS_END) {
            call.failWith("unsigned-answer", "the response of the endpoint is not signed");
            return;
        }
        if (relay.hasStarted()) {
            String detail = "the endpoint answered with status " + status;
            context.forwardingLog().logFailedAttempt(request, endpoint.id(), "not-resumed", detail);
            call.failWith("stream-not-resumed", detail);
            return;
        }
        if (context.dialect().guaranteesNotRun(status)
                && !request.route().requestKind().isRetryable()) {
            call.failWith(
                    "endpoint-failure",
                    "the endpoint failed the request with status "
                            + status
                            + ", which does not state whether the request has run");
            return;
        }
        call.complete("endpoint-failure", status, headers);
    }

    private void handleNotRun() {
        measurement.recordNoResult();
        context.metrics().countAttempt(request.service().id(), "not-run");
        context.forwardingLog()
                .logFailedAttempt(request, endpoint.id(), "not-run", "status " + status);
        relay.discardUndelivered();
        if (call.mayRetry()) {
            call.tryNextEndpoint();
        } else {
            call.failWith(
                    "endpoints-full",
                    "the endpoints accept no more requests at the moment: send the request"
                            + " again later");
        }
    }

    private void handleFailure(EndpointFailureException failure) {
        if (done) {
            return;
        }
        markDone(false, !failure.isNotSent());
        if (call.isFinished()) {
            return;
        }
        String kind = failure.getKind().name().toLowerCase(Locale.ROOT);
        context.metrics().countAttempt(request.service().id(), kind);
        context.forwardingLog()
                .logFailedAttempt(
                        request, endpoint.id(), kind, String.valueOf(failure.getMessage()));
        if (failure.isNotSent()) {
            measurement.recordNoResult();
            long nowMs = context.timeSource().monotonicMs();
            if (context.endpoints().assess(endpoint, nowMs).isAvailable()) {
                endpoint.recordConnectionFailure(nowMs);
            }
            call.retryAfterUnsentAttempt();
            return;
        }
        if (head == null) {
            call.countAttempt();
        }
        call.recordMayHaveRun();
        recordResult(true);
        if (failure.getKind() == Kind.CONNECTION_LOST) {
            endpoint.recordConnectionFailure(context.timeSource().monotonicMs());
        }
        boolean mayBeCause =
                mayHaveCrashedEndpoint(failure) && call.trial().recordLossBeforeAnswer(endpoint);
        relay.discardUndelivered();
        if (mayBeCause) {
            call.failWith(
                    "lost-with-endpoint",
                    "the connection to the endpoint was lost before an answer began: the request"
                            + " may have run, and may be the cause");
        } else if (call.mayRetry() && failure.getKind() != Kind.FIRST_BYTE_TIMEOUT) {
            call.tryNextEndpoint();
        } else {
            call.failWith(
                    "attempt-failed",
                    "the response of the endpoint was lost: the request may have run");
        }
    }

    private void recordAnswerBegun() {
        if (!hasAnswerBegun) {
            hasAnswerBegun = true;
            call.trial().recordAnswerBegun(startedMs);
        }
    }

    private boolean mayHaveCrashedEndpoint(EndpointFailureException failure) {
        boolean isConnectionEnded =
                failure.getKind() == Kind.CONNECTION_LOST
                        || failure.getKind() == Kind.TRUNCATED_ANSWER && isEndedByConnection();
        return isConnectionEnded && !hasAnswerBegun;
    }

    private boolean isEndedByConnection() {
        return headers != null
                && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private void recordResult(boolean isFailure) {
        long nowMs = context.timeSource().monotonicMs();
        double medianRate = context.endpoints().medianFailureRate(request.service().id());
        endpoint.recordResult(isFailure, medianRate, nowMs);
        measurement.recordResult(isFailure);
    }
}
