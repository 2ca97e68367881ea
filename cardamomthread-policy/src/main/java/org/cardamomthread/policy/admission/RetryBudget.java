package org.cardamomthread.policy.admission;

/**
 * Permits retries and hedges as a share of recent successes, so that a wave of failures does not
 * multiply the load.
 *
 * <p>Invariants: tokens lie between zero and the burst; each success adds the share, each retry
 * takes one; without successes a small constant rate remains. Safe for use by several threads; all
 * methods lock the budget.
 */
public final class RetryBudget {

    private static final double MS_PER_SECOND = 1_000;

    private final double share;
    private final double leastPerSecond;
    private final double burst;
    private double tokens;
    private long refilledAtMs;

    /**
     * Creates a full budget.
     *
     * @param share retries permitted for each success, 0 to 1
     * @param leastPerSecond retries a second permitted without any success, at least zero
     * @param burst the most retries saved up, at least one
     * @param nowMs monotonic time, in milliseconds
     */
    public RetryBudget(double share, double leastPerSecond, double burst, long nowMs) {
        if (!(share >= 0 && share <= 1) || !(leastPerSecond >= 0) || !(burst >= 1)) {
            throw new IllegalArgumentException(
                    "share must be 0 to 1, leastPerSecond 0 or more and burst 1 or more, got "
                            + share
                            + ", "
                            + leastPerSecond
                            + " and "
                            + burst);
        }
        this.share = share;
        this.leastPerSecond = leastPerSecond;
        this.burst = burst;
        this.tokens = burst;
        this.refilledAtMs = nowMs;
    }

    /** Notes a call that succeeded at its first try. */
    public synchronized void onSuccess() {
        tokens = Math.min(burst, tokens + share);
    }

    /**
     * Spends one retry if the budget permits it.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return true if the retry may be made
     */
    public synchronized boolean trySpend(long nowMs) {
        double elapsedMs = Math.max(0, nowMs - refilledAtMs);
        refilledAtMs = Math.max(refilledAtMs, nowMs);
        tokens = Math.min(burst, tokens + leastPerSecond * elapsedMs / MS_PER_SECOND);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
