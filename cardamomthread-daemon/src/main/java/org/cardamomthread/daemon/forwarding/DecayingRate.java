package org.cardamomthread.daemon.forwarding;

/** Measures a rate as an exponentially decaying average. Not thread-safe. */
final class DecayingRate {

    /**
     * Decay time constant: long compared with the interval between requests of a busy account,
     * short compared with the period of its load changes.
     */
    private static final double TIME_CONSTANT_S = 2.0;

    private static final double MS_PER_S = 1_000.0;

    private double amount;
    private long updatedMs;

    DecayingRate(long nowMs) {
        updatedMs = nowMs;
    }

    void add(double added, long nowMs) {
        decay(nowMs);
        amount += added;
    }

    double ratePerS(long nowMs) {
        decay(nowMs);
        return amount / TIME_CONSTANT_S;
    }

    private void decay(long nowMs) {
        double elapsedS = Math.max(0, nowMs - updatedMs) / MS_PER_S;
        amount *= Math.exp(-elapsedS / TIME_CONSTANT_S);
        updatedMs = Math.max(updatedMs, nowMs);
    }
}
