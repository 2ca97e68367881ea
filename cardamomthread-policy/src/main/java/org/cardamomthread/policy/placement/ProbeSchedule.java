package org.cardamomthread.policy.placement;

/**
 * Limits the requests that a gateway sends to other data centres of whose load it knows nothing, as
 * it learns loads only from responses to its own requests. Not thread-safe.
 */
final class ProbeSchedule {

    static final long MIN_INTERVAL_MS = 1_000;

    /**
     * Longest interval: if all data centres are full, 87 gateways send 3 probes per second in
     * total.
     */
    static final long MAX_INTERVAL_MS = 30_000;

    private long intervalMs = MIN_INTERVAL_MS;
    private long nextMs = Long.MIN_VALUE;

    /** Returns whether a probe may be sent now, and doubles the time to the next one if so. */
    boolean tryProbe(long nowMs) {
        if (nowMs < nextMs) {
            return false;
        }
        // No probe was wanted for so long: what the last ones found is out of date.
        if (nowMs - MAX_INTERVAL_MS > nextMs) {
            intervalMs = MIN_INTERVAL_MS;
        }
        nextMs = nowMs + intervalMs;
        intervalMs = Math.min(MAX_INTERVAL_MS, 2 * intervalMs);
        return true;
    }

    /** Records that another data centre was found to have capacity. */
    void recordCapacityFound() {
        intervalMs = MIN_INTERVAL_MS;
    }
}
