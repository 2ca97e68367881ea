package org.cardamomthread.daemon.forwarding;

/** Measures a rate with older amounts fading away. Used by one thread at a time. */
final class DecayingRate {

    /** Long against the pause between two requests of a busy account, short against its waves. */
    private static final double TIME_CONSTANT_S = 2.0;

    private static final double MS_PER_S = 1_000.0;

    private double amount;
    private long updatedMs;

    DecayingRate(long nowMs) {
        updatedMs = nowMs;
    }

    void add(double more, long nowMs) {
        decay(nowMs);
        amount += more;
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
