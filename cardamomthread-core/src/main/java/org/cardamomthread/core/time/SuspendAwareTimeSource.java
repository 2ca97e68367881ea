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
public final class SuspendAwareTimeSource implements TimeSource {

    /** Maximum difference attributed to ordinary clock adjustment, in milliseconds. */
    static final long TOLERANCE_MS = 50;

    /**
     * Maximum time in which both clocks must be read for their difference to be known; a thread
     * that waits for the processor in between is not suspended with its host.
     */
    private static final long MAX_READ_MS = 10;

    private final TimeSource hostClocks;
    private long suspendedMs;
    private long lastWallClockOffsetMs;
    private long lastMonotonicMs = Long.MIN_VALUE;

    /**
     * Creates a time source.
     *
     * @param hostClocks clocks of the host
     */
    public SuspendAwareTimeSource(TimeSource hostClocks) {
        this.hostClocks = hostClocks;
        this.lastWallClockOffsetMs = hostClocks.millis() - hostClocks.monotonicMs();
    }

    @Override
    public Instant instant() {
        return hostClocks.instant();
    }

    @Override
    public synchronized long monotonicMs() {
        long beforeMs = hostClocks.monotonicMs();
        long wallClockMs = hostClocks.millis();
        long hostMonotonicMs = hostClocks.monotonicMs();
        if (hostMonotonicMs - beforeMs <= MAX_READ_MS) {
            addSuspension(wallClockMs - hostMonotonicMs);
        }
        lastMonotonicMs = Math.max(lastMonotonicMs, hostMonotonicMs + suspendedMs);
        return lastMonotonicMs;
    }

    private void addSuspension(long wallClockOffsetMs) {
        long wallClockGainMs = wallClockOffsetMs - lastWallClockOffsetMs;
        if (wallClockGainMs > TOLERANCE_MS) {
            suspendedMs += wallClockGainMs;
            lastWallClockOffsetMs = wallClockOffsetMs;
        } else if (wallClockGainMs < 0) {
            lastWallClockOffsetMs = wallClockOffsetMs;
        }
    }
}
