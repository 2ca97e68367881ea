package org.cardamomthread.daemon.forwarding;

/** Measures a rate with older amounts fading away. Used by one thread at a time. */
final class DemandMeter {

    /** Long against the pause between two requests of a busy account, short against its waves. */
    private static final double FADING_S = 2.0;

    private static final double MS_PER_S = 1_000.0;

    private double amount;
    private long updatedMs;

    DemandMeter(long nowMs) {
        updatedMs = nowMs;
    }

    void add(double more, long nowMs) {
        fade(nowMs);
        amount += more;
    }

    double ratePerS(long nowMs) {
        fade(nowMs);
        return amount / FADING_S;
    }

    private void fade(long nowMs) {
        double elapsedS = Math.max(0, nowMs - updatedMs) / MS_PER_S;
        amount *= Math.exp(-elapsedS / FADING_S);
        updatedMs = Math.max(updatedMs, nowMs);
    }
}
