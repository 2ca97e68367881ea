package org.cardamomthread.core.time;

import java.time.Instant;

/**
 * Includes the time for which the host was suspended in the monotonic time.
 *
 * <p>The monotonic clock of a host stops during suspension, so a lease measured by it would still
 * be considered valid after other nodes regard it as expired. The wall clock continues: whenever it
 * has advanced more than {@link #TOLERANCE_MS} further than the monotonic clock, the difference is
 * added. If the wall clock is set forward, leases expire early, which is safe; if it is set back,
 * nothing changes. Thread-safe.
 */
public final class SuspendCountingTimeSource implements TimeSource {

    /** Maximum difference attributed to ordinary clock adjustment, in milliseconds. */
    static final long TOLERANCE_MS = 50;

    private final TimeSource hostClocks;
    private long suspendedMs;
    private long lastOffsetMs;
    private long lastMs = Long.MIN_VALUE;

    /**
     * Creates a time source.
     *
     * @param hostClocks clocks of the host
     */
    public SuspendCountingTimeSource(TimeSource hostClocks) {
        this.hostClocks = hostClocks;
        this.lastOffsetMs = hostClocks.millis() - hostClocks.monotonicMs();
    }

    @Override
    public Instant instant() {
        return hostClocks.instant();
    }

    @Override
    public synchronized long monotonicMs() {
        long steadyMs = hostClocks.monotonicMs();
        long offsetMs = hostClocks.millis() - steadyMs;
        long gainMs = offsetMs - lastOffsetMs;
        if (gainMs > TOLERANCE_MS) {
            suspendedMs += gainMs;
            lastOffsetMs = offsetMs;
        } else if (gainMs < 0) {
            lastOffsetMs = offsetMs;
        }
        lastMs = Math.max(lastMs, steadyMs + suspendedMs);
        return lastMs;
    }
}
