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
import org.cardamomthread.daemon.http.HttpReply;
import org.cardamomthread.daemon.http.Problem;
import org.cardamomthread.daemon.http.ResponseStream;
import org.cardamomthread.daemon.telemetry.NodeMetrics;
import org.cardamomthread.daemon.telemetry.NodeTracing;
import org.cardamomthread.execution.ExecutionStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accompanies one caller's request from admission to its end: identity, answer, span, metrics and
 * the line in the log.
 *
 * <p>Invariant: the end is recorded exactly once. Safe for use by several threads.
 */
final class CallScope {

    private static final Logger LOGGER = LoggerFactory.getLogger(CallScope.class);

    private final HttpExchange exchange;
    private final RequestId requestId;
    private final ClientAccountId account;
    private final CallTarget target;
    private final Span span;
    private final NodeMetrics metrics;
    private final NodeTracing tracing;
    private final TimeSource timeSource;
    private final ChoiceLog choices;
    private final long startedAtMs;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicBoolean firstByteSeen = new AtomicBoolean();
    private volatile Runnable endAction = () -> {};

    CallScope(
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
        this.choices = telemetry.choices();
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

    /** Sets what runs once at the end, such as giving back the account's place. */
    void onEnd(Runnable action) {
        endAction = action;
    }

    /** Sends a whole answer of an endpoint and ends the call. */
    void answer(HttpReply reply) {
        recordFirstByte();
        exchange.respond(identify(reply));
        end(CallOutcome.ANSWERED, "status " + reply.status());
    }

    /** Sends a problem document and ends the call. */
    void refuse(Problem problem) {
        exchange.respond(identify(problem.toReply(requestId.value())));
        boolean wasRun = problem.execution() != ExecutionStatus.NOT_RUN;
        end(
                wasRun ? CallOutcome.FAILED : CallOutcome.REFUSED,
                problem.type() + ": " + problem.detail());
    }

    /** Begins a streamed answer; the caller of this method ends the call. */
    ResponseStream startStream(int status, HttpHeaders headers) {
        HttpHeaders identified = new DefaultHttpHeaders().set(headers);
        setIdentity(identified);
        return exchange.startStream(status, identified);
    }

    void recordFirstByte() {
        if (firstByteSeen.compareAndSet(false, true)) {
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
        choices.end(requestId, outcome);
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

    private HttpReply identify(HttpReply reply) {
        setIdentity(reply.headers());
        return reply;
    }

    private void setIdentity(HttpHeaders headers) {
        headers.set("x-request-id", requestId.value());
        tracing.inject(span, headers);
    }
}
