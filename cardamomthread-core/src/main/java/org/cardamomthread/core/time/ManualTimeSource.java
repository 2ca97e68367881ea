package org.cardamomthread.core.time;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Advances only on explicit request; intended for tests and replayed traffic.
 *
 * <p>Time never decreases. Thread-safe.
 */
public final class ManualTimeSource implements TimeSource {

    private final Instant origin;
    private final AtomicLong elapsedMs = new AtomicLong();

    /**
     * Creates a time source whose monotonic time is zero.
     *
     * @param origin wall-clock time at the start
     */
    public ManualTimeSource(Instant origin) {
        this.origin = origin;
    }

    /** Creates a time source whose wall clock starts at the Unix epoch. */
    public ManualTimeSource() {
        this(Instant.EPOCH);
    }

    /**
     * Advances the wall clock and the monotonic clock.
     *
     * @param stepMs milliseconds to advance, at least zero
     */
    public void advanceMs(long stepMs) {
        if (stepMs < 0) {
            throw new IllegalArgumentException("stepMs " + stepMs + " must be 0 or more");
        }
        elapsedMs.addAndGet(stepMs);
    }

    @Override
    public Instant instant() {
        return origin.plusMillis(elapsedMs.get());
    }

    @Override
    public long monotonicMs() {
        return elapsedMs.get();
    }
}
