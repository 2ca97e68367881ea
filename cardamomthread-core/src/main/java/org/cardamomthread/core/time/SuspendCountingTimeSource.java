package org.cardamomthread.core.time;

import java.time.Instant;

/**
 * Counts the time for which the host was suspended as monotonic time too.
 *
 * <p>The monotonic clock of a host stands still while it is suspended, and a lease measured by it
 * would go on after other nodes take it for ended. The wall clock does not stand still: whenever it
 * has gained on the monotonic clock by more than {@link #TOLERANCE_MS}, the gain is added. A wall
 * clock that is set forward ends leases early, which is safe; one that is set back changes nothing.
 * Safe for use by several threads.
 */
public final class SuspendCountingTimeSource implements TimeSource {

    /** Gain of the wall clock that still counts as ordinary adjustment, in milliseconds. */
    static final long TOLERANCE_MS = 50;

    private final TimeSource clocks;
    private long suspendedMs;
    private long lastOffsetMs;
    private long lastMs = Long.MIN_VALUE;

    /**
     * Creates a time source.
     *
     * @param clocks the clocks of the host
     */
    public SuspendCountingTimeSource(TimeSource clocks) {
        this.clocks = clocks;
        this.lastOffsetMs = clocks.millis() - clocks.monotonicMs();
    }

    @Override
    public Instant instant() {
        return clocks.instant();
    }

    @Override
    public synchronized long monotonicMs() {
        long steadyMs = clocks.monotonicMs();
        long offsetMs = clocks.millis() - steadyMs;
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
