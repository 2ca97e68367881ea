package org.cardamomthread.core.time;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Advances only when told to; for tests and replays.
 *
 * <p>Time never decreases. Safe for use by several threads.
 */
public final class ManualTimeSource implements TimeSource {

    private final Instant origin;
    private final AtomicLong elapsedMs = new AtomicLong();

    /**
     * Creates a time source whose monotonic time is zero.
     *
     * @param origin the wall-clock time at the start
     */
    public ManualTimeSource(Instant origin) {
        this.origin = origin;
    }

    /** Creates a time source that starts at the epoch. */
    public ManualTimeSource() {
        this(Instant.EPOCH);
    }

    /**
     * Advances both clocks.
     *
     * @param stepMs milliseconds to advance, at least zero
     */
    public void advanceMs(long stepMs) {
        if (stepMs < 0) {
            throw new IllegalArgumentException("stepMs " + stepMs + " must not be negative");
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
