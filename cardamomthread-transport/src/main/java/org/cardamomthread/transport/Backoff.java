package org.cardamomthread.transport;

import java.util.random.RandomGenerator;

/**
 * Computes the delay before the next attempt to connect: doubled with each failure in a row up to a
 * bound, of which a random half is taken away so that nodes do not reconnect in step.
 *
 * <p>Not safe for use by several threads.
 */
final class Backoff {

    private static final int MAX_DOUBLINGS = 30;

    private final long minMs;
    private final long maxMs;
    private final RandomGenerator random;
    private int failures;

    Backoff(long minMs, long maxMs, RandomGenerator random) {
        this.minMs = minMs;
        this.maxMs = maxMs;
        this.random = random;
    }

    /** Counts a failure and returns the delay in milliseconds. */
    long nextDelayMs() {
        long bound = Math.min(maxMs, minMs << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        long half = bound / 2;
        return half + random.nextLong(bound - half + 1);
    }

    void reset() {
        failures = 0;
    }
}
