package org.cardamomthread.policy.admission;

/**
 * Limits a rate with a token bucket that refills continuously. The caller decides what a token of
 * the bucket stands for.
 *
 * <p>The number of tokens never exceeds the capacity. It may become negative, as an amount above
 * the capacity is granted when the bucket is full. Not thread-safe.
 */
public final class TokenBucket {

    private static final double MS_PER_S = 1_000.0;

    private double ratePerS;
    private double capacity;
    private double availableTokens;
    private long refilledAtMs;

    /**
     * Creates a token bucket.
     *
     * @param ratePerS tokens added per second
     * @param capacity maximum number of tokens in the bucket
     * @param initialTokens initial number of tokens
     * @param nowMs monotonic time, in milliseconds
     */
    public TokenBucket(double ratePerS, double capacity, double initialTokens, long nowMs) {
        this.ratePerS = ratePerS;
        this.capacity = capacity;
        this.availableTokens = initialTokens;
        this.refilledAtMs = nowMs;
    }

    /**
     * Changes rate and capacity; the current tokens are kept up to the new capacity.
     *
     * @param newRatePerS tokens added per second
     * @param newCapacity maximum number of tokens in the bucket
     * @param nowMs monotonic time, in milliseconds
     */
    public void resize(double newRatePerS, double newCapacity, long nowMs) {
        refill(nowMs);
        ratePerS = newRatePerS;
        capacity = newCapacity;
        availableTokens = Math.min(availableTokens, capacity);
    }

    /**
     * Consumes tokens if enough are available; an amount above the capacity requires a full bucket.
     *
     * @param amount number of tokens to consume
     * @param nowMs monotonic time, in milliseconds
     * @return true if the tokens were consumed, false if there were too few and nothing was
     *     consumed
     */
    public boolean tryConsume(double amount, long nowMs) {
        refill(nowMs);
        if (availableTokens < Math.min(amount, capacity)) {
            return false;
        }
        availableTokens -= amount;
        return true;
    }

    /**
     * Returns the number of available tokens.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return number of tokens, negative after an amount above the capacity was consumed
     */
    public double availableTokens(long nowMs) {
        refill(nowMs);
        return availableTokens;
    }

    /**
     * Returns the maximum number of tokens in the bucket.
     *
     * @return number of tokens
     */
    public double capacity() {
        return capacity;
    }

    /**
     * Adds tokens, up to the capacity.
     *
     * @param amount number of tokens to add
     */
    public void add(double amount) {
        availableTokens = Math.min(capacity, availableTokens + amount);
    }

    /**
     * Returns the time until enough tokens are available.
     *
     * @param amount number of tokens required
     * @param nowMs monotonic time, in milliseconds
     * @return time in milliseconds, {@link Long#MAX_VALUE} if the bucket does not refill
     */
    public long waitMs(double amount, long nowMs) {
        refill(nowMs);
        double missing = Math.min(amount, capacity) - availableTokens;
        if (missing <= 0) {
            return 0;
        }
        return ratePerS <= 0 ? Long.MAX_VALUE : (long) Math.ceil(missing / ratePerS * MS_PER_S);
    }

    private void refill(long nowMs) {
        double elapsedS = Math.max(0, nowMs - refilledAtMs) / MS_PER_S;
        availableTokens = Math.min(capacity, availableTokens + elapsedS * ratePerS);
        refilledAtMs = Math.max(refilledAtMs, nowMs);
    }
}
