package org.cardamomthread.daemon.telemetry;

import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.trace.ReadWriteSpan;
import io.opentelemetry.sdk.trace.ReadableSpan;
import io.opentelemetry.sdk.trace.SpanProcessor;

/**
 * Discards all spans. Needed where no exporter is configured: a tracer provider without a processor
 * creates no valid spans, so that the trace would end at this node.
 *
 * <p>Stateless and thread-safe.
 */
final class NoOpSpanProcessor implements SpanProcessor {

    @Override
    public void onStart(Context parentContext, ReadWriteSpan span) {
        // Spans are discarded.
    }

    @Override
    public boolean isStartRequired() {
        return false;
    }

    @Override
    public void onEnd(ReadableSpan span) {
        // Spans are discarded.
    }

    @Override
    public boolean isEndRequired() {
        return false;
    }
}
