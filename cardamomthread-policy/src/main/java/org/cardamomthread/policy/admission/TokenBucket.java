package org.cardamomthread.policy.admission;

/**
 * Limits a rate by a bucket that refills with time.
 *
 * <p>Invariant: the level never exceeds the capacity. Used by one thread at a time.
 */
public final class TokenBucket {

    private static final double MS_PER_S = 1_000.0;

    private double ratePerS;
    private double capacity;
    private double level;
    private long refilledMs;

    /**
     * Creates a bucket.
     *
     * @param ratePerS units that are added a second
     * @param capacity the most units that it holds
     * @param level units in it now
     * @param nowMs monotonic time, in milliseconds
     */
    public TokenBucket(double ratePerS, double capacity, double level, long nowMs) {
        this.ratePerS = ratePerS;
        this.capacity = capacity;
        this.level = level;
        this.refilledMs = nowMs;
    }

    /**
     * Changes the limits; what is in the bucket stays, up to the new capacity.
     *
     * @param newRatePerS units that are added a second
     * @param newCapacity the most units that it holds
     * @param nowMs monotonic time, in milliseconds
     */
    public void resize(double newRatePerS, double newCapacity, long nowMs) {
        refill(nowMs);
        ratePerS = newRatePerS;
        capacity = newCapacity;
        level = Math.min(level, capacity);
    }

    /**
     * Takes an amount if it is there; one larger than the capacity needs a full bucket.
     *
     * @param amount the units to take
     * @param nowMs monotonic time, in milliseconds
     * @return false if it is not there; then nothing was taken
     */
    public boolean tryTake(double amount, long nowMs) {
        refill(nowMs);
        if (level < Math.min(amount, capacity)) {
            return false;
        }
        level -= amount;
        return true;
    }

    /**
     * Returns what is in the bucket.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return units, below 0 after a request larger than the capacity
     */
    public double level(long nowMs) {
        refill(nowMs);
        return level;
    }

    /**
     * Returns the most units that it holds.
     *
     * @return units
     */
    public double capacity() {
        return capacity;
    }

    /**
     * Adds units, up to the capacity.
     *
     * @param amount the units to add
     */
    public void add(double amount) {
        level = Math.min(capacity, level + amount);
    }

    /**
     * Returns the time until an amount is there.
     *
     * @param amount the units wanted
     * @param nowMs monotonic time, in milliseconds
     * @return milliseconds, {@link Long#MAX_VALUE} if never
     */
    public long waitMs(double amount, long nowMs) {
        refill(nowMs);
        double missing = Math.min(amount, capacity) - level;
        if (missing <= 0) {
            return 0;
        }
        return ratePerS <= 0 ? Long.MAX_VALUE : (long) Math.ceil(missing / ratePerS * MS_PER_S);
    }

    private void refill(long nowMs) {
        double elapsedS = Math.max(0, nowMs - refilledMs) / MS_PER_S;
        level = Math.min(capacity, level + elapsedS * ratePerS);
        refilledMs = Math.max(refilledMs, nowMs);
    }
}
