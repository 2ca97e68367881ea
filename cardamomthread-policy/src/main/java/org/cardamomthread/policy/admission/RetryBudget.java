package org.cardamomthread.policy.admission;

/**
 * Limits retries and hedges to a ratio of recent successes, so that many failures at once do not
 * multiply the load.
 *
 * <p>The budget is a token bucket: each success adds a fraction of a token and each retry consumes
 * one, up to a maximum burst. A constant refill rate permits some retries without any success.
 * Thread-safe: all methods synchronize on the budget.
 */
public final class RetryBudget {

    private static final double MS_PER_SECOND = 1_000;

    private final double retryRatio;
    private final double minRetriesPerSecond;
    private final double burst;
    private double tokens;
    private long refilledAtMs;

    /**
     * Creates a full budget.
     *
     * @param retryRatio number of retries permitted per success, 0 to 1
     * @param minRetriesPerSecond number of retries per second permitted without any success, at
     *     least zero
     * @param burst maximum number of retries that can be saved up, at least one
     * @param nowMs monotonic time, in milliseconds
     */
    public RetryBudget(double retryRatio, double minRetriesPerSecond, double burst, long nowMs) {
        if (!(retryRatio >= 0 && retryRatio <= 1) || !(minRetriesPerSecond >= 0) || !(burst >= 1)) {
            throw new IllegalArgumentException(
                    "retryRatio must be 0 to 1, minRetriesPerSecond 0 or more and burst 1 or more,"
                            + " got "
                            + retryRatio
                            + ", "
                            + minRetriesPerSecond
                            + " and "
                            + burst);
        }
        this.retryRatio = retryRatio;
        this.minRetriesPerSecond = minRetriesPerSecond;
        this.burst = burst;
        this.tokens = burst;
        this.refilledAtMs = nowMs;
    }

    /** Records a call that succeeded at its first attempt. */
    public synchronized void onSuccess() {
        tokens = Math.min(burst, tokens + retryRatio);
    }

    /**
     * Consumes one retry if the budget permits it.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return true if the retry is permitted
     */
    public synchronized boolean tryConsume(long nowMs) {
        double elapsedMs = Math.max(0, nowMs - refilledAtMs);
        refilledAtMs = Math.max(refilledAtMs, nowMs);
        tokens = Math.min(burst, tokens + minRetriesPerSecond * elapsedMs / MS_PER_SECOND);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
