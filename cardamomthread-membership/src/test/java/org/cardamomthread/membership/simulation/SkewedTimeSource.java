package org.cardamomthread.membership.simulation;

import java.time.Instant;
import org.cardamomthread.core.time.TimeSource;

/** Reads a true clock with an offset and a constant rate error. */
final class SkewedTimeSource implements TimeSource {

    private static final long MILLE = 1_000;

    private final TimeSource trueTime;
    private final long offsetMs;
    private final int ratePerMille;

    SkewedTimeSource(TimeSource trueTime, long offsetMs, int ratePerMille) {
        this.trueTime = trueTime;
        this.offsetMs = offsetMs;
        this.ratePerMille = ratePerMille;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(monotonicMs());
    }

    @Override
    public long monotonicMs() {
        return offsetMs + trueTime.monotonicMs() * (MILLE + ratePerMille) / MILLE;
    }
}
