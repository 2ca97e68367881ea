package org.cardamomthread.policy.capacity;

/**
 * Counts how many weight transfers the store permits now.
 *
 * <p>Invariants: at most {@code atOnce} transfers run together, and at most {@code perMinute} begin
 * in any minute on average; after a refusal by the store none begins until its retry time. Not safe
 * for use by several threads.
 */
public final class WeightTransfers {

    private static final double MS_PER_MINUTE = 60_000;

    private final int atOnce;
    private final double perMinute;
    private int running;
    private double tokens;
    private long refilledAtMs;
    private long notBeforeMs = Long.MIN_VALUE;

    /**
     * Creates the count without running transfers.
     *
     * @param atOnce the most transfers together, at least one
     * @param perMinute the most transfers begun a minute, above zero
     * @param nowMs monotonic time, in milliseconds
     */
    public WeightTransfers(int atOnce, double perMinute, long nowMs) {
        if (atOnce < 1 || !(perMinute > 0)) {
            throw new IllegalArgumentException(
                    "atOnce must be 1 or more and perMinute above 0, got "
                            + atOnce
                            + " and "
                            + perMinute);
        }
        this.atOnce = atOnce;
        this.perMinute = perMinute;
        this.tokens = Math.min(atOnce, perMinute);
        this.refilledAtMs = nowMs;
    }

    /**
     * Returns how many transfers may begin.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return zero or more
     */
    public int permitted(long nowMs) {
        double elapsedMs = Math.max(0, nowMs - refilledAtMs);
        refilledAtMs = Math.max(refilledAtMs, nowMs);
        tokens = Math.min(atOnce, tokens + perMinute * elapsedMs / MS_PER_MINUTE);
        if (nowMs < notBeforeMs) {
            return 0;
        }
        return Math.max(0, Math.min(atOnce - running, (int) tokens));
    }

    /** Notes that a transfer began. */
    public void onBegin() {
        running++;
        tokens -= 1;
    }

    /** Notes that a transfer ended, in whatever way. */
    public void onEnd() {
        running = Math.max(0, running - 1);
    }

    /**
     * Notes that the store refused a transfer.
     *
     * @param retryAfterMs time until the next try, in milliseconds
     * @param nowMs monotonic time, in milliseconds
     */
    public void onRefused(long retryAfterMs, long nowMs) {
        notBeforeMs = Math.max(notBeforeMs, nowMs + retryAfterMs);
    }
}
