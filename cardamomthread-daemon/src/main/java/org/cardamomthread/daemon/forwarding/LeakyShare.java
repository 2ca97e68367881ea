package org.cardamomthread.daemon.forwarding;

/**
 * Limits a rate by a bucket that refills with time.
 *
 * <p>Invariant: the level never exceeds the capacity. Used by one thread at a time.
 */
final class LeakyShare {

    private static final double MS_PER_S = 1_000.0;

    private double ratePerS;
    private double capacity;
    private double level;
    private long refilledMs;

    LeakyShare(double ratePerS, double capacity, double level, long nowMs) {
        this.ratePerS = ratePerS;
        this.capacity = capacity;
        this.level = level;
        this.refilledMs = nowMs;
    }

    void resize(double newRatePerS, double newCapacity, long nowMs) {
        refill(nowMs);
        ratePerS = newRatePerS;
        capacity = newCapacity;
        level = Math.min(level, capacity);
    }

    /** Takes an amount if it is there; one larger than the capacity needs a full bucket. */
    boolean tryTake(double amount, long nowMs) {
        refill(nowMs);
        if (level < Math.min(amount, capacity)) {
            return false;
        }
        level -= amount;
        return true;
    }

    void add(double amount) {
        level = Math.min(capacity, level + amount);
    }

    /** Returns the time until an amount is there, in milliseconds. */
    long waitMs(double amount, long nowMs) {
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
