package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.time.TimeSource;

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

    AttemptReport createReport(boolean isFailed, String result) {
        long firstByteMs = firstAtMs < 0 ? -1 : firstAtMs - startedAtMs;
        double meanGapMs = count < 2 ? -1 : (double) (lastAtMs - firstAtMs) / (count - 1);
        return new AttemptReport(isFailed, firstByteMs, meanGapMs, result);
    }
}
