package org.cardamomthread.daemon.gateway;

import java.util.Locale;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;

/** Measures one attempt: first byte and mean gap between tokens. Used by one thread at a time. */
final class AttemptTiming {

    private final TimeSource timeSource;
    private final long startedAtMs;
    private long firstAtMs = -1;
    private long lastAtMs = -1;
    private int count;

    AttemptTiming(TimeSource timeSource) {
        this.timeSource = timeSource;
        this.startedAtMs = timeSource.monotonicMs();
    }

    void recordToken() {
        lastAtMs = timeSource.monotonicMs();
        if (firstAtMs < 0) {
            firstAtMs = lastAtMs;
        }
        count++;
    }

    /** Reports an attempt that the endpoint answered whole. */
    AttemptReport createReport() {
        return createReport(false, false, false, "complete");
    }

    /** Reports an attempt that failed. */
    AttemptReport createReport(Kind kind) {
        boolean isOverloaded = kind == Kind.OVERLOADED;
        boolean isUnreached = kind == Kind.NOT_SENT || kind == Kind.CONNECTION_LOST;
        return createReport(true, isUnreached, isOverloaded, kind.name().toLowerCase(Locale.ROOT));
    }

    private AttemptReport createReport(
            boolean isFailed, boolean isUnreached, boolean isOverloaded, String result) {
        long firstByteMs = firstAtMs < 0 ? -1 : firstAtMs - startedAtMs;
        double meanGapMs = count < 2 ? -1 : (double) (lastAtMs - firstAtMs) / (count - 1);
        long durationMs = timeSource.monotonicMs() - startedAtMs;
        return new AttemptReport(
                isFailed, isUnreached, isOverloaded, firstByteMs, 0, meanGapMs, durationMs, result);
    }
}
