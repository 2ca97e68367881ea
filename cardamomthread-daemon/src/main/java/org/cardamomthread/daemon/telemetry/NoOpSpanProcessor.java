package org.cardamomthread.daemon.telemetry;

import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.trace.ReadWriteSpan;
import io.opentelemetry.sdk.trace.ReadableSpan;
import io.opentelemetry.sdk.trace.SpanProcessor;

/**
 * Drops finished spans. A provider without any processor makes no spans at all, and the trace would
 * end at this node.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class DroppingSpanProcessor implements SpanProcessor {

    @Override
    public void onStart(Context parentContext, ReadWriteSpan span) {
        // Nothing is kept.
    }

    @Override
    public boolean isStartRequired() {
        return false;
    }

    @Override
    public void onEnd(ReadableSpan span) {
        // Nothing is kept.
    }

    @Override
    public boolean isEndRequired() {
        return false;
    }
}
