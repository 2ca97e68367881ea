package org.cardamomthread.policy.admission;

/**
 * Measures the rate at which requests leave a queue, only while some wait: otherwise the rate would
 * be that of the demand. Not thread-safe.
 */
final class DrainMeter {

    /** Length of a measurement: at 8 requests per second, two leave in it. */
    private static final long WINDOW_MS = 250;

    /** Shortest measurement that counts when the queue empties before the window has passed. */
    private static final long MIN_WINDOW_MS = 50;

    /** Time without waiting requests after which the earlier rate says nothing about the next. */
    private static final long RETENTION_MS = 5_000;

    private DrainRate rate = new DrainRate();
    private boolean isMeasuring;
    private boolean isAssumed;
    private long startMs;
    private long windowStartMs;
    private long stoppedMs;
    private int drained;

    /**
     * Sets the rate to assume until it is measured, unless it was measured recently.
     *
     * @param expectedPerMs requests per millisecond, 0 if unknown
     */
    void expect(double expectedPerMs, long nowMs) {
        if (!isMeasuring && (!rate.isKnown() || nowMs - stoppedMs > RETENTION_MS)) {
            rate = new DrainRate(expectedPerMs);
        }
    }

    /** Begins to measure, as the first request waits. */
    void start(long nowMs) {
        if (!isMeasuring) {
            isMeasuring = true;
            startMs = nowMs;
            windowStartMs = nowMs;
            drained = 0;
        }
    }

    /** Stops to measure, as no request waits any more. */
    void stop(long nowMs) {
        closeWindow(nowMs, MIN_WINDOW_MS);
        isMeasuring = false;
        stoppedMs = nowMs;
    }

    void recordDrained(long nowMs) {
        drained++;
        advanceTo(nowMs);
    }

    /** Ends the current window if it has passed, also if no request has left in it. */
    boolean advanceTo(long nowMs) {
        return closeWindow(nowMs, WINDOW_MS);
    }

    private boolean closeWindow(long nowMs, long minWindowMs) {
        if (!isMeasuring || nowMs - windowStartMs < minWindowMs) {
            return false;
        }
        if (drained == 0 && (isAssumed || !rate.isKnown())) {
            // At most one request leaves in the time in which none has left.
            rate = new DrainRate(1.0 / (nowMs - startMs));
            isAssumed = true;
        } else {
            rate.add(drained, nowMs - windowStartMs);
            isAssumed = false;
        }
        windowStartMs = nowMs;
        drained = 0;
        return true;
    }

    boolean isKnown() {
        return rate.isKnown();
    }

    /** Returns the expected time until a number of requests have left, 0 if it is unknown. */
    long estimateDrainMs(int requests) {
        // An assumed rate says nothing of the first request, which may leave at any moment.
        return rate.estimateDrainMs(isAssumed ? requests - 1 : requests);
    }
}
