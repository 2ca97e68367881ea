package org.cardamomthread.daemon.telemetry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;
import org.testng.annotations.Test;

/** Tests {@link NodeTracing}. */
public class NodeTracingTests {

    private static final String TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736";

    @Test
    public void propagatesTheCallersTraceWithoutAnExporter() {
        try (NodeTracing tracing = new NodeTracing(new NodeId("a1"), Optional.empty())) {
            HttpHeaders received =
                    new DefaultHttpHeaders()
                            .set("traceparent", "00-" + TRACE_ID + "-00f067aa0ba902b7-01");
            Span request = tracing.startServerSpan("request", received);
            Span attempt = tracing.startSpan("attempt", SpanKind.CLIENT, request);
            HttpHeaders sent = new DefaultHttpHeaders();
            tracing.inject(attempt, sent);
            assertEquals(request.getSpanContext().getTraceId(), TRACE_ID);
            String expected = "00-" + TRACE_ID + "-" + attempt.getSpanContext().getSpanId();
            assertTrue(sent.get("traceparent").startsWith(expected), sent.get("traceparent"));
        }
    }
}
