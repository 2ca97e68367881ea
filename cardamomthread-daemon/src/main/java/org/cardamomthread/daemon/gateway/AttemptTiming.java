package org.cardamomthread.daemon.gateway;

import java.util.Locale;
import java.util.OptionalLong;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;

/**
 * Measures the time to the first token of an attempt and the mean gap between its tokens. A call
 * without tokens records its response head as the only one. Not thread-safe: used by one thread at
 * a time.
 */
final class AttemptTiming {

    private final TimeSource timeSource;
    private final long startedAtMs;
    private long firstTokenAtMs = -1;
    private long lastTokenAtMs = -1;
    private int tokenCount;

    AttemptTiming(TimeSource timeSource) {
        this.timeSource = timeSource;
        this.startedAtMs = timeSource.monotonicMs();
    }

    void recordToken() {
        lastTokenAtMs = timeSource.monotonicMs();
        if (firstTokenAtMs < 0) {
            firstTokenAtMs = lastTokenAtMs;
        }
        tokenCount++;
    }

    /** Returns the time since the last token, or empty before the first one, in milliseconds. */
    OptionalLong sinceLastTokenMs() {
        return lastTokenAtMs < 0
                ? OptionalLong.empty()
                : OptionalLong.of(timeSource.monotonicMs() - lastTokenAtMs);
    }

    /** Returns the time since the start of the attempt, in milliseconds. */
    long sinceStartMs() {
        return timeSource.monotonicMs() - startedAtMs;
    }

    /** Returns the report of an attempt with a complete response. */
    AttemptReport createReport() {
        return createReport(false, false, false, "complete");
    }

    /** Returns the report of an attempt that failed in the given way. */
    AttemptReport createReport(Kind kind) {
        boolean isOverloaded = kind == Kind.OVERLOADED;
        boolean isConnectionFailed = kind == Kind.NOT_SENT || kind == Kind.CONNECTION_LOST;
        return createReport(
                true, isConnectionFailed, isOverloaded, kind.name().toLowerCase(Locale.ROOT));
    }

    private AttemptReport createReport(
            boolean isFailed, boolean isConnectionFailed, boolean isOverloaded, String result) {
        long firstByteMs = firstTokenAtMs < 0 ? -1 : firstTokenAtMs - startedAtMs;
        double meanTokenGapMs =
                tokenCount < 2 ? -1 : (double) (lastTokenAtMs - firstTokenAtMs) / (tokenCount - 1);
        long durationMs = timeSource.monotonicMs() - startedAtMs;
        return new AttemptReport(
                isFailed,
                isConnectionFailed,
                isOverloaded,
                firstByteMs,
                0,
                meanTokenGapMs,
                durationMs,
                result);
    }
}
