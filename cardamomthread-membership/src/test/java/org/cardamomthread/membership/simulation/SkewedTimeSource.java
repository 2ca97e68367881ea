package org.cardamomthread.membership.simulation;

import java.time.Instant;
import org.cardamomthread.core.time.TimeSource;

/** Derives a time source with a constant offset and rate error from an exact one. */
final class SkewedTimeSource implements TimeSource {

    private static final long PER_MILLE = 1_000;

    private final TimeSource exactTime;
    private final long offsetMs;
    private final int driftPerMille;

    SkewedTimeSource(TimeSource exactTime, long offsetMs, int driftPerMille) {
        this.exactTime = exactTime;
        this.offsetMs = offsetMs;
        this.driftPerMille = driftPerMille;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(monotonicMs());
    }

    @Override
    public long monotonicMs() {
        return offsetMs + exactTime.monotonicMs() * (PER_MILLE + driftPerMille) / PER_MILLE;
    }
}
