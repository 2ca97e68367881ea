package org.cardamomthread.daemon.duty;

import java.time.Duration;

/**
 * Decides when the counts of an accounting window are final.
 *
 * <p>It answers the time after a cut or a change of leader, in which some gateways have not
 * reported yet: their counts are waited for as long as the report can still be delivered in time.
 * Immutable.
 *
 * @param windowMs the length of a window, in milliseconds
 * @param deadlineMs the time after the end of a window by which it must be reported, in
 *     milliseconds
 */
record UsageWindowClosing(long windowMs, long deadlineMs) {

    /** Time for the last counts of gateways to arrive; covers several of their reports. */
    private static final long GRACE_PERIOD_MS = 1_500;

    /** Time reserved for committing the counts and for sending them, with a retry. */
    private static final long DELIVERY_RESERVE_MS = Duration.ofSeconds(3).toMillis();

    /** Returns the end of a window, in milliseconds since 1970. */
    long endMs(long window) {
        return (window + 1) * windowMs;
    }

    /** Returns the oldest window that can still be reported in time. */
    long oldestWindow(long nowMs) {
        return (nowMs - deadlineMs) / windowMs;
    }

    /** Returns the newest window whose counts may be final. */
    long newestWindow(long nowMs) {
        return (nowMs - GRACE_PERIOD_MS) / windowMs - 1;
    }

    /**
     * Returns whether the counts of a window are final.
     *
     * @param window the number of the window
     * @param isComplete whether every gateway that may have counted in it has reported since its
     *     end
     * @param nowMs wall clock time, in milliseconds since 1970
     */
    boolean isFinal(long window, boolean isComplete, long nowMs) {
        long sinceEndMs = nowMs - endMs(window);
        long latestMs = Math.max(GRACE_PERIOD_MS, deadlineMs - DELIVERY_RESERVE_MS);
        return sinceEndMs >= (isComplete ? GRACE_PERIOD_MS : latestMs);
    }
}
