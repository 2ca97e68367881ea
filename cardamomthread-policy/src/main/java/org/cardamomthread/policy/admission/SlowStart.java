package org.cardamomthread.policy.admission;

import java.util.Objects;

/**
 * Tells how many requests one endpoint bears now.
 *
 * <p>Invariants: the limit is the cold limit of the class after each start, and whenever the
 * endpoint says or shows that it is cold; it is never above what the endpoint last reported to bear
 * nor above the warm limit; it rises only after first tokens came in time while the limit was in
 * use and the warm-up share of the time since the start permits it. Not safe for use by several
 * threads.
 */
public final class SlowStart {

    private static final double SLOW_FACTOR = 3; // times the expected first-token time
    private static final int SLOW_CALLS_FOR_COLD = 2; // in a row
    private static final double IN_USE_SHARE = 0.5;

    private final ClassLimits limits;
    private long incarnation = Long.MIN_VALUE;
    private int bearableRequests = Integer.MAX_VALUE;
    private int limit;
    private long coldSinceMs;
    private int goodCalls;
    private int slowCalls;
    private boolean reportedCold;

    /**
     * Creates the state of an endpoint that just started.
     *
     * @param limits what endpoints of the class bear
     * @param nowMs monotonic time, in milliseconds
     */
    public SlowStart(ClassLimits limits, long nowMs) {
        this.limits = Objects.requireNonNull(limits, "limits must be given");
        becomeCold(nowMs);
    }

    /**
     * Takes in an announcement.
     *
     * @param newIncarnation start number of the endpoint; an older one is ignored
     * @param newBearableRequests requests that the endpoint says it bears, zero if it bears none
     * @param cold true if the endpoint says that it is cold or starting
     * @param nowMs monotonic time, in milliseconds
     */
    public void onAnnouncement(
            long newIncarnation, int newBearableRequests, boolean cold, long nowMs) {
        if (newIncarnation < incarnation) {
            return;
        }
        boolean restarted = newIncarnation > incarnation;
        incarnation = newIncarnation;
        bearableRequests = Math.max(0, newBearableRequests);
        if (restarted || (cold && !reportedCold)) {
            becomeCold(nowMs);
        }
        reportedCold = cold;
    }

    /**
     * Takes in the time to the first token of a call that began after the last cold start.
     *
     * @param firstTokenMs measured time, in milliseconds
     * @param expectedMs time that a warm endpoint would have needed under its load, in milliseconds
     * @param inFlight calls at the endpoint when this one began, with it
     * @param startedAtMs when the call was sent, on the monotonic clock
     * @param nowMs monotonic time, in milliseconds
     */
    public void onFirstToken(
            double firstTokenMs, double expectedMs, int inFlight, long startedAtMs, long nowMs) {
        if (startedAtMs < coldSinceMs) {
            return;
        }
        if (firstTokenMs > SLOW_FACTOR * expectedMs) {
            onSlowCall(nowMs);
            return;
        }
        slowCalls = 0;
        if (inFlight >= IN_USE_SHARE * limit) {
            goodCalls++;
        }
        if (goodCalls >= limit && !reportedCold) {
            goodCalls = 0;
            limit = Math.min(limit * 2, permittedByTime(nowMs));
        }
    }

    /**
     * Takes in a call that failed because the endpoint was overloaded.
     *
     * @param startedAtMs when the call was sent, on the monotonic clock
     * @param nowMs monotonic time, in milliseconds
     */
    public void onOverload(long startedAtMs, long nowMs) {
        if (startedAtMs >= coldSinceMs) {
            becomeCold(nowMs);
        }
    }

    /**
     * Returns how many requests may be at the endpoint now.
     *
     * @return zero or more
     */
    public int limit() {
        return Math.min(limit, bearableRequests);
    }

    /**
     * Tells whether the endpoint still warms up, so that its times say nothing of its version.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return true until the warm-up time is over
     */
    public boolean isWarmingUp(long nowMs) {
        return nowMs - coldSinceMs < limits.warmUpMs();
    }

    private void onSlowCall(long nowMs) {
        goodCalls = 0;
        slowCalls++;
        if (slowCalls >= SLOW_CALLS_FOR_COLD) {
            becomeCold(nowMs);
        }
    }

    private int permittedByTime(long nowMs) {
        if (!isWarmingUp(nowMs)) {
            return limits.warmRequests();
        }
        double share = (double) (nowMs - coldSinceMs) / limits.warmUpMs();
        int range = limits.warmRequests() - limits.coldRequests();
        return Math.max(limit, limits.coldRequests() + (int) (range * share));
    }

    private void becomeCold(long nowMs) {
        limit = limits.coldRequests();
        coldSinceMs = nowMs;
        goodCalls = 0;
        slowCalls = 0;
    }
}
