package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import org.cardamomthread.daemon.dispatch.EndpointAttempt;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.dispatch.EndpointRequest;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.dispatch.ResponseAcceptancePolicy;
import org.cardamomthread.daemon.http.EndToEndHeaders;
import org.cardamomthread.daemon.http.ServerRequest;
import org.cardamomthread.daemon.telemetry.NodeTracing;

/**
 * Sends a call to the endpoint of a reservation, with routing headers and a trace span for that
 * hop.
 *
 * <p>Thread-safe.
 */
final class AttemptDispatcher {

    private final EndpointClient client;
    private final EndpointAvailabilityTracker availability;
    private final NodeTracing tracing;

    AttemptDispatcher(
            EndpointClient client, EndpointAvailabilityTracker availability, NodeTracing tracing) {
        this.client = client;
        this.availability = availability;
        this.tracing = tracing;
    }

    /** Starts an attempt and a span, which ends with the listener's last event. */
    EndpointAttempt start(
            CallContext context,
            EndpointReservation reservation,
            String target,
            byte[] body,
            EndpointResponseListener listener) {
        Span span = tracing.startSpan("endpoint attempt", SpanKind.CLIENT, context.getSpan());
        span.setAttribute("cardamomthread.endpoint", reservation.getEndpoint().value());
        span.setAttribute("cardamomthread.version", reservation.getVersion().value());
        ServerRequest callerRequest = context.getExchange().getRequest();
        HttpHeaders headers = createRequestHeaders(callerRequest.headers());
        headers.set("x-request-id", context.getRequestId().value());
        headers.set("x-priority", context.getTarget().traffic().getPriorityName());
        headers.set("x-service", context.getTarget().service().value());
        headers.set("x-version", reservation.getVersion().value());
        tracing.inject(span, headers);
        EndpointRequest request =
                new EndpointRequest(
                        reservation.getAddress(),
                        callerRequest.method(),
                        target,
                        headers,
                        body,
                        context.getRequestId(),
                        context.getTarget().traffic().getFirstByteTimeoutMs(),
                        context.getTarget().traffic().getGapTimeoutMs(),
                        () -> availability.maySend(reservation),
                        ResponseAcceptancePolicy.STANDARD);
        return client.start(
                request, availability.observe(reservation, new SpanEndingListener(span, listener)));
    }

    /** Returns a copy of the endpoint's response headers without hop-by-hop headers. */
    static HttpHeaders createResponseHeaders(HttpHeaders received) {
        return EndToEndHeaders.copy(received);
    }

    private static HttpHeaders createRequestHeaders(HttpHeaders received) {
        HttpHeaders headers = EndToEndHeaders.copy(received);
        headers.remove("host");
        headers.remove("authorization");
        return headers;
    }
}
