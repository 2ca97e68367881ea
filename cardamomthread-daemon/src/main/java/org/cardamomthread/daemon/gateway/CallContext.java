package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.ProblemDetail;
import org.cardamomthread.daemon.http.ResponseStream;
import org.cardamomthread.daemon.http.ServerResponse;
import org.cardamomthread.daemon.telemetry.NodeMetrics;
import org.cardamomthread.daemon.telemetry.NodeTracing;
import org.cardamomthread.execution.ExecutionStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the state of one caller's request from admission to its end, sends its response and records
 * its span, metrics and log line.
 *
 * <p>Invariant: the end is recorded exactly once. Thread-safe.
 */
final class CallContext {

    private static final Logger LOGGER = LoggerFactory.getLogger(CallContext.class);

    private final HttpExchange exchange;
    private final RequestId requestId;
    private final ClientAccountId account;
    private final CallTarget target;
    private final Span span;
    private final NodeMetrics metrics;
    private final NodeTracing tracing;
    private final TimeSource timeSource;
    private final PlacementHistory placementHistory;
    private final long startedAtMs;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicBoolean firstByteRecorded = new AtomicBoolean();
    private volatile Runnable endAction = () -> {};

    CallContext(
            HttpExchange exchange,
            RequestId requestId,
            ClientAccountId account,
            CallTarget target,
            Span span,
            CallTelemetry telemetry) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.account = account;
        this.target = target;
        this.span = span;
        this.metrics = telemetry.metrics();
        this.tracing = telemetry.tracing();
        this.timeSource = telemetry.timeSource();
        this.placementHistory = telemetry.placementHistory();
        this.startedAtMs = timeSource.monotonicMs();
        metrics.beginRequest(target.service());
    }

    HttpExchange getExchange() {
        return exchange;
    }

    RequestId getRequestId() {
        return requestId;
    }

    ClientAccountId getAccount() {
        return account;
    }

    CallTarget getTarget() {
        return target;
    }

    Span getSpan() {
        return span;
    }

    long getElapsedMs() {
        return timeSource.monotonicMs() - startedAtMs;
    }

    /** Sets the action that runs once when the call ends. Replaces an action set before. */
    void onEnd(Runnable action) {
        endAction = action;
    }

    /** Sends a complete response of an endpoint and ends the call. */
    void respond(ServerResponse response) {
        recordFirstByte();
        exchange.respond(withIdentityHeaders(response));
        end(CallOutcome.ANSWERED, "status " + response.status());
    }

    /** Sends a problem document and ends the call. */
    void respondWithProblem(ProblemDetail problem) {
        exchange.respond(withIdentityHeaders(problem.toResponse(requestId.value())));
        boolean wasRun = problem.execution() != ExecutionStatus.NOT_RUN;
        end(
                wasRun ? CallOutcome.FAILED : CallOutcome.REFUSED,
                problem.type() + ": " + problem.detail());
    }

    /** Starts a streamed response; the caller of this method must {@link #end} the call. */
    ResponseStream startStream(int status, HttpHeaders headers) {
        HttpHeaders headersWithIdentity = new DefaultHttpHeaders().set(headers);
        setIdentityHeaders(headersWithIdentity);
        return exchange.startStream(status, headersWithIdentity);
    }

    void recordFirstByte() {
        if (firstByteRecorded.compareAndSet(false, true)) {
            metrics.recordFirstByte(target.service(), getElapsedMs());
        }
    }

    void countTokens(int count) {
        metrics.countTokens(target.service(), count);
    }

    void countRecomputedTokens(int count) {
        metrics.countRecomputedTokens(target.service(), count);
    }

    void countAttempt(String result) {
        metrics.countAttempt(target.service(), result);
    }

    void end(CallOutcome outcome, String detail) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        endAction.run();
        placementHistory.recordOutcome(requestId, outcome);
        metrics.endRequest(target.service(), outcome.getLabel(), getElapsedMs());
        if (outcome == CallOutcome.FAILED) {
            span.setStatus(StatusCode.ERROR, detail);
        }
        span.end();
        LOGGER.atInfo()
                .addKeyValue("requestId", requestId)
                .addKeyValue("traceId", span.getSpanContext().getTraceId())
                .addKeyValue("service", target.service())
                .addKeyValue("route", target.route())
                .addKeyValue("account", account)
                .addKeyValue("outcome", outcome.getLabel())
                .addKeyValue("elapsedMs", getElapsedMs())
                .log(detail);
    }

    private ServerResponse withIdentityHeaders(ServerResponse response) {
        setIdentityHeaders(response.headers());
        return response;
    }

    private void setIdentityHeaders(HttpHeaders headers) {
        headers.set("x-request-id", requestId.value());
        tracing.inject(span, headers);
    }
}
