package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import org.cardamomthread.daemon.dispatch.AnswerForm;
import org.cardamomthread.daemon.dispatch.EndpointAttempt;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.dispatch.EndpointRequest;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.http.EndToEndHeaders;
import org.cardamomthread.daemon.http.HttpCall;
import org.cardamomthread.daemon.telemetry.NodeTracing;

/**
 * Sends a call to a chosen endpoint, with the headers and the span of that hop.
 *
 * <p>Safe for use by several threads.
 */
final class AttemptRunner {

    private final EndpointClient client;
    private final NodeTracing tracing;

    AttemptRunner(EndpointClient client, NodeTracing tracing) {
        this.client = client;
        this.tracing = tracing;
    }

    /** Starts an attempt; its span ends with the last event of the listener. */
    EndpointAttempt start(
            CallScope scope,
            PlacedCall placed,
            String target,
            byte[] body,
            EndpointResponseListener listener) {
        Span span = tracing.startSpan("endpoint attempt", SpanKind.CLIENT, scope.getSpan());
        span.setAttribute("cardamomthread.endpoint", placed.getEndpoint().value());
        span.setAttribute("cardamomthread.version", placed.getVersion().value());
        HttpCall call = scope.getExchange().getCall();
        HttpHeaders headers = createHeaders(call.headers());
        headers.set("x-request-id", scope.getRequestId().value());
        headers.set("x-priority", scope.getTarget().traffic().getPriorityName());
        headers.set("x-service", scope.getTarget().service().value());
        headers.set("x-version", placed.getVersion().value());
        tracing.inject(span, headers);
        EndpointRequest request =
                new EndpointRequest(
                        placed.getAddress(),
                        call.method(),
                        target,
                        headers,
                        body,
                        scope.getRequestId(),
                        scope.getTarget().isRepeatable(),
                        scope.getTarget().traffic().getFirstByteTimeoutMs(),
                        scope.getTarget().traffic().getGapTimeoutMs(),
                        placed::mayStart,
                        AnswerForm.STANDARD);
        return client.start(request, new SpanEndingListener(span, listener));
    }

    /** Copies the headers of an answer that may go on to the caller. */
    static HttpHeaders createCallerHeaders(HttpHeaders answered) {
        return EndToEndHeaders.copy(answered);
    }

    private static HttpHeaders createHeaders(HttpHeaders received) {
        HttpHeaders headers = EndToEndHeaders.copy(received);
        headers.remove("host");
        headers.remove("authorization");
        return headers;
    }
}
