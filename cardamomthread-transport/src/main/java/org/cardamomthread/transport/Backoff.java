package org.cardamomthread.transport;

import java.util.random.RandomGenerator;

/**
 * Computes the delay before the next connection attempt. The delay doubles with each consecutive
 * failure up to a maximum; a random part of up to one half is subtracted so that nodes do not
 * reconnect simultaneously.
 *
 * <p>Not thread-safe.
 */
final class Backoff {

    private static final int MAX_DOUBLINGS = 30;

    private final long minMs;
    private final long maxMs;
    private final RandomGenerator random;
    private int consecutiveFailures;

    Backoff(long minMs, long maxMs, RandomGenerator random) {
        this.minMs = minMs;
        this.maxMs = maxMs;
        this.random = random;
    }

    /** Records a failure and returns the delay before the next attempt, in milliseconds. */
    long nextDelayMs() {
        long upperBoundMs = Math.min(maxMs, minMs << Math.min(consecutiveFailures, MAX_DOUBLINGS));
        consecutiveFailures++;
        long halfMs = upperBoundMs / 2;
        return halfMs + random.nextLong(upperBoundMs - halfMs + 1);
    }

    void reset() {
        consecutiveFailures = 0;
    }
}
