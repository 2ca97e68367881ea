package org.cardamomthread.policy.capacity;

/**
 * Limits the transfers of model weights from the weight store.
 *
 * <p>At most {@code maxConcurrentTransfers} run concurrently, and on average at most {@code
 * maxStartsPerMinute} start per minute. After a refusal by the store no transfer may start until
 * the retry delay has passed. Not thread-safe.
 */
public final class WeightTransferLimiter {

    private static final double MS_PER_MINUTE = 60_000;

    private final int maxConcurrentTransfers;
    private final double maxStartsPerMinute;
    private int running;
    private double tokens;
    private long refilledAtMs;
    private long notBeforeMs = Long.MIN_VALUE;

    /**
     * Creates a limiter without running transfers.
     *
     * @param maxConcurrentTransfers maximum number of concurrent transfers, at least one
     * @param maxStartsPerMinute maximum average number of transfers started per minute, above zero
     * @param nowMs monotonic time, in milliseconds
     */
    public WeightTransferLimiter(
            int maxConcurrentTransfers, double maxStartsPerMinute, long nowMs) {
        if (maxConcurrentTransfers < 1 || !(maxStartsPerMinute > 0)) {
            throw new IllegalArgumentException(
                    "maxConcurrentTransfers must be 1 or more and maxStartsPerMinute greater"
                            + " than 0, got "
                            + maxConcurrentTransfers
                            + " and "
                            + maxStartsPerMinute);
        }
        this.maxConcurrentTransfers = maxConcurrentTransfers;
        this.maxStartsPerMinute = maxStartsPerMinute;
        this.tokens = Math.min(maxConcurrentTransfers, maxStartsPerMinute);
        this.refilledAtMs = nowMs;
    }

    /**
     * Returns how many transfers may start now.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return number of transfers, at least zero
     */
    public int permittedStarts(long nowMs) {
        double elapsedMs = Math.max(0, nowMs - refilledAtMs);
        refilledAtMs = Math.max(refilledAtMs, nowMs);
        tokens =
                Math.min(
                        maxConcurrentTransfers,
                        tokens + maxStartsPerMinute * elapsedMs / MS_PER_MINUTE);
        if (nowMs < notBeforeMs) {
            return 0;
        }
        return Math.max(0, Math.min(maxConcurrentTransfers - running, (int) tokens));
    }

    /** Records that a transfer started. */
    public void onStarted() {
        running++;
        tokens -= 1;
    }

    /** Records that a transfer ended, successfully or not. */
    public void onEnded() {
        running = Math.max(0, running - 1);
    }

    /**
     * Records that the store refused a transfer.
     *
     * @param retryAfterMs time until the next attempt is allowed, in milliseconds
     * @param nowMs monotonic time, in milliseconds
     */
    public void onRefused(long retryAfterMs, long nowMs) {
        notBeforeMs = Math.max(notBeforeMs, nowMs + retryAfterMs);
    }
}
