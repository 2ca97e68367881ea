package org.cardamomthread.policy.admission;

import java.util.Objects;

/**
 * Limits the concurrency of one endpoint while it warms up.
 *
 * <p>The limit drops to the cold concurrency of the endpoint class after each start of the
 * endpoint, and whenever the endpoint reports that it is cold or behaves like it. It never exceeds
 * the maximum concurrency that the endpoint last reported, nor the warm concurrency of the class.
 * It doubles only after enough calls delivered their first token in time while the limit was in
 * use, and no further than the elapsed share of the warm-up time permits. Not thread-safe.
 */
public final class SlowStart {

    /** Multiple of the expected time to the first token above which a call counts as slow. */
    private static final double SLOW_CALL_FACTOR = 3;

    private static final int CONSECUTIVE_SLOW_CALLS_UNTIL_COLD = 2;

    /** Share of the limit that must be in use for a call to count towards raising it. */
    private static final double MIN_UTILISATION = 0.5;

    private final EndpointClassLimits limits;
    private long incarnation = Long.MIN_VALUE;
    private int reportedMaxConcurrency = Integer.MAX_VALUE;
    private int limit;
    private long coldSinceMs;
    private int timelyCalls;
    private int consecutiveSlowCalls;
    private boolean reportedCold;

    /**
     * Creates the limiter for an endpoint that has just started.
     *
     * @param limits concurrency limits of the endpoint class
     * @param nowMs monotonic time, in milliseconds
     */
    public SlowStart(EndpointClassLimits limits, long nowMs) {
        this.limits = Objects.requireNonNull(limits, "limits must not be null");
        resetToCold(nowMs);
    }

    /**
     * Processes an announcement of the endpoint.
     *
     * @param newIncarnation incarnation of the endpoint, incremented with each start; announcements
     *     of older ones are ignored
     * @param newMaxConcurrency number of concurrent requests that the endpoint accepts, at least
     *     zero
     * @param cold whether the endpoint reports that it is cold or starting
     * @param nowMs monotonic time, in milliseconds
     */
    public void onAnnouncement(
            long newIncarnation, int newMaxConcurrency, boolean cold, long nowMs) {
        if (newIncarnation < incarnation) {
            return;
        }
        boolean restarted = newIncarnation > incarnation;
        incarnation = newIncarnation;
        reportedMaxConcurrency = Math.max(0, newMaxConcurrency);
        if (restarted || (cold && !reportedCold)) {
            resetToCold(nowMs);
        }
        reportedCold = cold;
    }

    /**
     * Processes the time to the first token of a call; calls sent before the limit last dropped are
     * ignored.
     *
     * @param firstTokenMs measured time to the first token, in milliseconds
     * @param expectedMs expected time at a warm endpoint under the same load, in milliseconds
     * @param inFlight number of calls at the endpoint when this one was sent, including it
     * @param startedAtMs monotonic time when the call was sent, in milliseconds
     * @param nowMs monotonic time, in milliseconds
     */
    public void onFirstToken(
            double firstTokenMs, double expectedMs, int inFlight, long startedAtMs, long nowMs) {
        if (startedAtMs < coldSinceMs) {
            return;
        }
        if (firstTokenMs > SLOW_CALL_FACTOR * expectedMs) {
            onSlowCall(nowMs);
            return;
        }
        consecutiveSlowCalls = 0;
        if (inFlight >= MIN_UTILISATION * limit) {
            timelyCalls++;
        }
        if (timelyCalls >= limit && !reportedCold) {
            timelyCalls = 0;
            limit = Math.min(limit * 2, limitForWarmUpTime(nowMs));
        }
    }

    /**
     * Processes a call that failed because the endpoint was overloaded.
     *
     * @param startedAtMs monotonic time when the call was sent, in milliseconds
     * @param nowMs monotonic time, in milliseconds
     */
    public void onOverload(long startedAtMs, long nowMs) {
        if (startedAtMs >= coldSinceMs) {
            resetToCold(nowMs);
        }
    }

    /**
     * Returns the maximum number of concurrent requests at present.
     *
     * @return number of requests, at least zero
     */
    public int limit() {
        return Math.min(limit, reportedMaxConcurrency);
    }

    /**
     * Returns whether the endpoint is still warming up, during which its latencies say nothing
     * about its version.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return true until the warm-up time is over
     */
    public boolean isWarmingUp(long nowMs) {
        return nowMs - coldSinceMs < limits.warmUpMs();
    }

    private void onSlowCall(long nowMs) {
        timelyCalls = 0;
        consecutiveSlowCalls++;
        if (consecutiveSlowCalls >= CONSECUTIVE_SLOW_CALLS_UNTIL_COLD) {
            resetToCold(nowMs);
        }
    }

    private int limitForWarmUpTime(long nowMs) {
        if (!isWarmingUp(nowMs)) {
            return limits.warmConcurrency();
        }
        double elapsedShare = (double) (nowMs - coldSinceMs) / limits.warmUpMs();
        int concurrencyRange = limits.warmConcurrency() - limits.coldConcurrency();
        return Math.max(limit, limits.coldConcurrency() + (int) (concurrencyRange * elapsedShare));
    }

    private void resetToCold(long nowMs) {
        limit = limits.coldConcurrency();
        coldSinceMs = nowMs;
        timelyCalls = 0;
        consecutiveSlowCalls = 0;
    }
}
