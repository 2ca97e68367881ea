package org.cardamomthread.policy.admission;

/**
 * Computes the exponential moving average of the rate at which requests leave a queue. Not
 * thread-safe.
 */
final class DrainRate {

    private static final double SMOOTHING_FACTOR = 0.2;

    private double requestsPerMs;

    /** Creates an unknown rate. */
    DrainRate() {
        this(0);
    }

    /** Creates a rate with a first estimate, in requests per millisecond; 0 if it is unknown. */
    DrainRate(double requestsPerMs) {
        this.requestsPerMs = requestsPerMs;
    }

    void add(int requests, long periodMs) {
        if (periodMs <= 0) {
            throw new IllegalArgumentException("periodMs " + periodMs + " must be greater than 0");
        }
        double rate = (double) requests / periodMs;
        requestsPerMs =
                requestsPerMs == 0
                        ? rate
                        : (1 - SMOOTHING_FACTOR) * requestsPerMs + SMOOTHING_FACTOR * rate;
    }

    /**
     * Returns the expected time until a number of requests have left, in milliseconds; zero if the
     * rate is unknown.
     */
    long estimateDrainMs(int requests) {
        return requestsPerMs == 0 ? 0 : (long) (requests / requestsPerMs);
    }

    /** Returns whether the rate is known. */
    boolean isKnown() {
        return requestsPerMs > 0;
    }
}
