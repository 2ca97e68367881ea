package org.cardamomthread.daemon.view;

import org.cardamomthread.core.time.TimeSource;

/**
 * Determines whether a gateway's view is recent enough to admit requests that need an API key.
 *
 * <p>Invariant: a lease starts when the request that renews it is sent. It therefore expires no
 * later than its duration after the leader could first acknowledge a change that the view lacks.
 * Thread-safe.
 */
public final class ViewLease {

    private final TimeSource timeSource;
    private final long durationMs;
    private volatile long renewedMs = Long.MIN_VALUE;

    /**
     * Creates a lease that is not held until it is renewed.
     *
     * @param timeSource supplies monotonic time, including time for which the host was suspended
     * @param durationMs how long a renewal is valid, in milliseconds
     */
    public ViewLease(TimeSource timeSource, long durationMs) {
        this.timeSource = timeSource;
        this.durationMs = durationMs;
    }

    /**
     * Renews the lease; a time before the last renewal has no effect.
     *
     * @param sentMs when the request that the leader answered was sent, in monotonic milliseconds
     */
    public void renew(long sentMs) {
        renewedMs = Math.max(renewedMs, sentMs);
    }

    /**
     * Returns whether the lease is held.
     *
     * @return true until the duration has passed since the last renewal
     */
    public boolean isHeld() {
        long lastRenewalMs = renewedMs;
        return lastRenewalMs != Long.MIN_VALUE
                && timeSource.monotonicMs() - lastRenewalMs < durationMs;
    }

    /**
     * Returns the time since the last renewal.
     *
     * @return the time in milliseconds, or -1 before the first renewal
     */
    public long ageMs() {
        long lastRenewalMs = renewedMs;
        return lastRenewalMs == Long.MIN_VALUE ? -1 : timeSource.monotonicMs() - lastRenewalMs;
    }
}
