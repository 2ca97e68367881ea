package org.cardamomthread.daemon.telemetry;

import io.netty.handler.codec.http.HttpHeaders;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.id.NodeId;

/**
 * Creates a span for each hop of a request and propagates the trace between hosts in W3C headers.
 *
 * <p>Spans are also created without an exporter, so that the trace identifier is propagated to the
 * endpoint. Thread-safe.
 */
public final class NodeTracing implements AutoCloseable {

    private static final long SHUTDOWN_TIMEOUT_MS = 2_000;
    private static final TextMapGetter<HttpHeaders> HEADER_GETTER = new HeaderGetter();

    private final SdkTracerProvider provider;
    private final Tracer tracer;

    /**
     * Creates the tracing of a node.
     *
     * @param node the node, which is recorded in the resource of each span
     * @param exporter exports finished spans; empty to discard them
     */
    public NodeTracing(NodeId node, Optional<SpanExporter> exporter) {
        Attributes attributes =
                Attributes.builder()
                        .put("service.name", "cardamomthread")
                        .put("service.instance.id", node.value())
                        .build();
        SdkTracerProviderBuilder builder =
                SdkTracerProvider.builder().setResource(Resource.create(attributes));
        builder.addSpanProcessor(
                exporter.<SpanProcessor>map(
                                spanExporter -> BatchSpanProcessor.builder(spanExporter).build())
                        .orElseGet(NoOpSpanProcessor::new));
        provider = builder.build();
        tracer = provider.get("org.cardamomthread");
    }

    /**
     * Creates an exporter that sends spans by OTLP over HTTP.
     *
     * @param endpointUrl the URL at which the collector accepts traces
     * @return the exporter
     */
    public static SpanExporter createOtlpExporter(String endpointUrl) {
        return OtlpHttpSpanExporter.builder().setEndpoint(endpointUrl).build();
    }

    /**
     * Starts the span of a caller's request, as a child of the caller's span if the headers contain
     * one.
     *
     * @param name the name of the span
     * @param headers the headers of the caller's request
     * @return the span, which the caller of this method must end
     */
    public Span startServerSpan(String name, HttpHeaders headers) {
        Context parent =
                W3CTraceContextPropagator.getInstance()
                        .extract(Context.root(), headers, HEADER_GETTER);
        return tracer.spanBuilder(name).setParent(parent).setSpanKind(SpanKind.SERVER).startSpan();
    }

    /**
     * Starts the span of a hop as a child of another span.
     *
     * @param name the name of the span
     * @param kind the role of this node in the hop
     * @param parent the parent span
     * @return the span, which the caller of this method must end
     */
    public Span startSpan(String name, SpanKind kind, Span parent) {
        return tracer.spanBuilder(name)
                .setParent(Context.root().with(parent))
                .setSpanKind(kind)
                .startSpan();
    }

    /**
     * Sets the headers that propagate a span to the next host.
     *
     * @param span the span of this hop
     * @param headers the headers to which the trace headers are added
     */
    public void inject(Span span, HttpHeaders headers) {
        W3CTraceContextPropagator.getInstance()
                .inject(Context.root().with(span), headers, HttpHeaders::set);
    }

    @Override
    public void close() {
        provider.shutdown().join(SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Reads the trace headers of a request. */
    private static final class HeaderGetter implements TextMapGetter<HttpHeaders> {

        @Override
        public Iterable<String> keys(HttpHeaders headers) {
            return headers.names();
        }

        @Override
        public String get(HttpHeaders headers, String key) {
            return headers == null ? null : headers.get(key);
        }
    }
}
