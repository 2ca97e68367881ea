package org.cardamomthread.daemon.view;

import org.cardamomthread.core.time.TimeSource;

/**
 * Tells whether a gateway's view is new enough to admit requests that need a key.
 *
 * <p>Invariant: the lease is counted from before the request that renewed it was sent, so it ends
 * at most its duration after the leader may have acknowledged a change that the view lacks. Safe
 * for use by several threads.
 */
public final class ViewLease {

    private final TimeSource timeSource;
    private final long durationMs;
    private volatile long renewedMs = Long.MIN_VALUE;

    /**
     * Creates a lease that does not hold yet.
     *
     * @param timeSource the clock, which counts the time for which the host was suspended
     * @param durationMs how long a renewal lasts, in milliseconds
     */
    public ViewLease(TimeSource timeSource, long durationMs) {
        this.timeSource = timeSource;
        this.durationMs = durationMs;
    }

    /**
     * Renews the lease.
     *
     * @param sentMs when the request was sent that the leader answered, monotonic milliseconds
     */
    public void renew(long sentMs) {
        renewedMs = Math.max(renewedMs, sentMs);
    }

    /**
     * Tells whether the lease holds.
     *
     * @return true until its duration has passed since the last renewal
     */
    public boolean isHeld() {
        long since = renewedMs;
        return since != Long.MIN_VALUE && timeSource.monotonicMs() - since < durationMs;
    }

    /**
     * Returns the age of the last renewal.
     *
     * @return milliseconds, or -1 before the first renewal
     */
    public long ageMs() {
        long since = renewedMs;
        return since == Long.MIN_VALUE ? -1 : timeSource.monotonicMs() - since;
    }
}
