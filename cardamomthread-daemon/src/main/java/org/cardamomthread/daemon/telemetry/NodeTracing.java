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
 * Makes a span for each hop of a request and carries the trace between hosts by the W3C headers.
 *
 * <p>Without an exporter spans are still made, so that the trace id goes on to the endpoint. Safe
 * for use by several threads.
 */
public final class NodeTracing implements AutoCloseable {

    private static final long FLUSH_TIMEOUT_MS = 2_000;
    private static final TextMapGetter<HttpHeaders> GETTER = new HeaderGetter();

    private final SdkTracerProvider provider;
    private final Tracer tracer;

    /**
     * Creates the tracing of a node.
     *
     * @param node the node, named in each span's resource
     * @param exporter sends finished spans, or empty to drop them
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
                exporter.<SpanProcessor>map(target -> BatchSpanProcessor.builder(target).build())
                        .orElseGet(DroppingSpanProcessor::new));
        provider = builder.build();
        tracer = provider.get("org.cardamomthread");
    }

    /**
     * Creates an exporter that speaks OTLP over HTTP.
     *
     * @param endpointUrl the collector's URL for traces
     * @return the exporter
     */
    public static SpanExporter createOtlpExporter(String endpointUrl) {
        return OtlpHttpSpanExporter.builder().setEndpoint(endpointUrl).build();
    }

    /**
     * Starts the span of a caller's request, below the caller's own trace if it names one.
     *
     * @param name the span's name
     * @param headers the caller's headers
     * @return the span, which the caller of this method ends
     */
    public Span startServerSpan(String name, HttpHeaders headers) {
        Context parent =
                W3CTraceContextPropagator.getInstance().extract(Context.root(), headers, GETTER);
        return tracer.spanBuilder(name).setParent(parent).setSpanKind(SpanKind.SERVER).startSpan();
    }

    /**
     * Starts the span of a hop below another span.
     *
     * @param name the span's name
     * @param kind the role of this node in the hop
     * @param parent the span above
     * @return the span, which the caller of this method ends
     */
    public Span startSpan(String name, SpanKind kind, Span parent) {
        return tracer.spanBuilder(name)
                .setParent(Context.root().with(parent))
                .setSpanKind(kind)
                .startSpan();
    }

    /**
     * Sets the headers that carry a span to the next host.
     *
     * @param span the span of this hop
     * @param headers the headers to send
     */
    public void inject(Span span, HttpHeaders headers) {
        W3CTraceContextPropagator.getInstance()
                .inject(Context.root().with(span), headers, HttpHeaders::set);
    }

    @Override
    public void close() {
        provider.shutdown().join(FLUSH_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Reads the W3C headers of a request. */
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
