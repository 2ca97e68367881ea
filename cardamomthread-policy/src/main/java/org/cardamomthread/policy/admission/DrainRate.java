package org.cardamomthread.policy.admission;

/** Averages how fast a queue is emptied. Not safe for use by several threads. */
final class DrainRate {

    private static final double NEWEST_WEIGHT = 0.2;

    private double requestsPerMs;

    void add(int requests, long periodMs) {
        if (periodMs <= 0) {
            throw new IllegalArgumentException("periodMs " + periodMs + " must be above 0");
        }
        double rate = (double) requests / periodMs;
        requestsPerMs =
                requestsPerMs == 0
                        ? rate
                        : (1 - NEWEST_WEIGHT) * requestsPerMs + NEWEST_WEIGHT * rate;
    }

    /** Returns the time in which so many requests leave, in milliseconds. */
    long timeForMs(int requests) {
        return requestsPerMs == 0 ? 0 : (long) (requests / requestsPerMs);
    }
}
