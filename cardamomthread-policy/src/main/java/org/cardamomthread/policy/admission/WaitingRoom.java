package org.cardamomthread.policy.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Decides which requests wait for an endpoint of a service, in which order they are sent, and which
 * are refused.
 *
 * <p>Requests are ordered by priority level, and within a level fairly by the cost of each client
 * account. A request that has waited half of its latency objective goes before younger ones of more
 * urgent levels, but not twice in a row, and only while its level is served no larger part of its
 * requests than theirs. A level that is served less than half of the part of a more urgent one also
 * goes before its older requests. A request that cannot start in time by the measured drain rate is
 * refused at once.
 *
 * <p>Invariants: a request is returned or refused once at most; the budget holds. Not thread-safe.
 */
public final class WaitingRoom {

    /** Part of the places that each priority level keeps when the room is full. */
    private static final int KEPT_PLACES_DIVISOR = 8;

    /**
     * Factor on the time left by which the expected wait must exceed it before a waiting request is
     * refused: at 8 requests per second, measured rates vary by about a third.
     */
    private static final int RECHECK_MARGIN = 2;

    /**
     * Served part of a less urgent level, relative to a more urgent one, up to which it may go
     * first; the difference to 1 covers the variation of the parts that are measured.
     */
    private static final double MAX_LESS_URGENT_SHARE = 0.9;

    /**
     * The same, up to which it also goes before older requests: a level whose requests may not wait
     * as long as those of more urgent ones would not be served otherwise.
     */
    private static final double MIN_LESS_URGENT_SHARE = 0.5;

    /** Served part from which on a level is not short of capacity. */
    private static final double FULLY_SERVED_SHARE = 0.95;

    private static final double SERVICE_TIME_SMOOTHING = 0.1;
    private static final double RETRY_AFTER_SPREAD = 0.5;
    private static final long MIN_RETRY_AFTER_MS = 100;
    private static final long MAX_RETRY_AFTER_MS = 30_000;

    /** Retry delay while the drain rate is unknown: about the duration of a short request. */
    private static final long DEFAULT_RETRY_AFTER_MS = 300;

    private final WaitingBudget budget;
    private final RandomGenerator random;
    private final TreeMap<Integer, WaitingLevel> levels = new TreeMap<>();
    private final DrainMeter drain = new DrainMeter();
    private int size;
    private int inFlight;
    private double meanServiceMs;

    /**
     * Creates an empty room.
     *
     * @param budget bounds the requests that wait in all rooms of a gateway
     * @param random spreads the retry delays
     */
    public WaitingRoom(WaitingBudget budget, RandomGenerator random) {
        this.budget = Objects.requireNonNull(budget, "budget must not be null");
        this.random = Objects.requireNonNull(random, "random must not be null");
    }

    /** Records that a request was sent to an endpoint, whether it had waited or not. */
    public void recordStart() {
        inFlight++;
    }

    /**
     * Records that a request that was sent to an endpoint has ended.
     *
     * @param serviceMs time since it was sent, in milliseconds
     * @param isServed false if the time is not that of a served request
     */
    public void recordEnd(long serviceMs, boolean isServed) {
        inFlight--;
        if (isServed) {
            meanServiceMs =
                    meanServiceMs == 0
                            ? serviceMs
                            : meanServiceMs + SERVICE_TIME_SMOOTHING * (serviceMs - meanServiceMs);
        }
    }

    /**
     * Adds a request if it can start in time and if there is a place for it.
     *
     * @param request the request
     * @param nowMs monotonic time, in milliseconds
     * @return refusals that result: none, that of the request itself, or those of requests which it
     *     displaced
     */
    public List<AdmissionRefusal> offer(WaitingRequest request, long nowMs) {
        drain.advanceTo(nowMs);
        if (size == 0) {
            drain.expect(meanServiceMs > 0 ? inFlight / meanServiceMs : 0, nowMs);
        }
        WaitingLevel level =
                levels.computeIfAbsent(request.level(), priority -> new WaitingLevel());
        long expectedMs = expectedWaitMs(request, level.estimateAhead(request), nowMs);
        long remainingMs = request.entry().latestStartMs() - nowMs;
        long maxWaitMs = Math.min(remainingMs, level.maxWaitMs(request, nowMs));
        // With nothing before it, one request may try: the rate was measured for earlier ones.
        if (remainingMs <= 0 || size > 0 && expectedMs > maxWaitMs) {
            return List.of(refuse(request, AdmissionRefusal.Reason.TOO_LATE, expectedMs));
        }
        List<WaitingRequest> displaced = new ArrayList<>();
        while (!budget.hasPlaceFor(request.bytes())) {
            WaitingRequest victim = removeDisplacedBy(request, level);
            if (victim == null) {
                for (int i = displaced.size() - 1; i >= 0; i--) {
                    add(displaced.get(i), nowMs);
                }
                return List.of(refuse(request, AdmissionRefusal.Reason.QUEUE_FULL, expectedMs));
            }
            displaced.add(victim);
        }
        add(request, nowMs);
        List<AdmissionRefusal> refusals = new ArrayList<>();
        for (WaitingRequest victim : displaced) {
            long victimMs =
                    expectedWaitMs(victim, levels.get(victim.level()).estimateAhead(victim), nowMs);
            refusals.add(refuse(victim, AdmissionRefusal.Reason.DISPLACED, victimMs));
        }
        return refusals;
    }

    /**
     * Removes and returns the next request. It may be one that can no longer start in time if
     * {@link #recheck} was not called at the same time.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return the request, or empty if none waits
     */
    public Optional<WaitingRequest> poll(long nowMs) {
        WaitingLevel chosen = null;
        for (WaitingLevel level : levels.descendingMap().values()) {
            if (level.size() > 0 && (chosen == null || !mayOvertake(chosen, level, nowMs))) {
                chosen = level;
            }
        }
        if (chosen == null) {
            return Optional.empty();
        }
        WaitingRequest request = chosen.poll();
        boolean isMoreUrgent = true;
        for (WaitingLevel level : levels.values()) {
            if (level == chosen) {
                isMoreUrgent = false;
            } else if (isMoreUrgent && level.size() > 0) {
                chosen.setTurn(false);
            } else if (!isMoreUrgent) {
                level.setTurn(true);
            }
        }
        chosen.recordServed();
        drain.recordDrained(nowMs);
        release(request, nowMs);
        return Optional.of(request);
    }

    /**
     * Removes a request that need not be sent any more, without an outcome.
     *
     * @param request the request
     * @param nowMs monotonic time, in milliseconds
     * @return false if it does not wait here
     */
    public boolean remove(WaitingRequest request, long nowMs) {
        WaitingLevel level = levels.get(request.level());
        boolean isRemoved = level != null && level.remove(request);
        if (isRemoved) {
            release(request, nowMs);
        }
        return isRemoved;
    }

    /**
     * Removes the requests that can no longer start in time, also by the drain rate measured since
     * they were added.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return refusals of the removed requests
     */
    public List<AdmissionRefusal> recheck(long nowMs) {
        if (size == 0) {
            return List.of();
        }
        List<WaitingRequest> late = new ArrayList<>();
        boolean hasNewRate = drain.advanceTo(nowMs);
        for (WaitingLevel level : levels.values()) {
            if (hasNewRate) {
                level.forEach(
                        (request, ahead) -> {
                            long remainingMs = request.entry().latestStartMs() - nowMs;
                            long expectedMs = expectedWaitMs(request, ahead, nowMs);
                            if (remainingMs <= 0 || expectedMs > remainingMs * RECHECK_MARGIN) {
                                late.add(request);
                            }
                        });
                continue;
            }
            for (WaitingRequest request : level.requests()) {
                if (request.entry().latestStartMs() <= nowMs) {
                    late.add(request);
                }
            }
        }
        List<AdmissionRefusal> refusals = new ArrayList<>();
        for (WaitingRequest request : late) {
            remove(request, nowMs);
            int ahead = levels.get(request.level()).estimateAhead(request);
            refusals.add(
                    refuse(
                            request,
                            AdmissionRefusal.Reason.TOO_LATE,
                            expectedWaitMs(request, ahead, nowMs)));
        }
        return refusals;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return number of requests, at least zero
     */
    public int size() {
        return size;
    }

    /**
     * Returns the retry delay for a request that is refused for another reason than by this room.
     *
     * @return the expected time until all waiting requests have left, spread, in milliseconds
     */
    public long retryAfterMs() {
        return toRetryAfterMs(size == 0 ? 0 : drain.estimateDrainMs(size + 1));
    }

    private boolean mayOvertake(WaitingLevel lessUrgent, WaitingLevel moreUrgent, long nowMs) {
        WaitingRequest request = lessUrgent.peek();
        if (!lessUrgent.hasTurn() || nowMs < request.agedAtMs()) {
            return false;
        }
        boolean isOlder = request.receivedMs() < moreUrgent.peek().receivedMs();
        if (isOlder && moreUrgent.servedShare() >= FULLY_SERVED_SHARE) {
            return true;
        }
        double maxRelativeShare = isOlder ? MAX_LESS_URGENT_SHARE : MIN_LESS_URGENT_SHARE;
        return lessUrgent.servedShare() <= maxRelativeShare * moreUrgent.servedShare();
    }

    /**
     * Estimates the wait of a request from the number of requests of its level before it, in
     * milliseconds.
     */
    private long expectedWaitMs(WaitingRequest request, int aheadInLevel, long nowMs) {
        if (!drain.isKnown()) {
            return 0;
        }
        int moreUrgent = 0;
        double leastShareOfMoreUrgent = 1;
        for (WaitingLevel level : levels.headMap(request.level()).values()) {
            if (level.size() > 0) {
                moreUrgent += level.size();
                leastShareOfMoreUrgent = Math.min(leastShareOfMoreUrgent, level.servedShare());
            }
        }
        int lessUrgent = 0;
        for (WaitingLevel level : levels.tailMap(request.level(), false).values()) {
            lessUrgent += level.size();
        }
        int ahead = moreUrgent + aheadInLevel;
        long expectedMs = drain.estimateDrainMs(ahead + Math.min(ahead, lessUrgent) + 1);
        boolean mayTakeTurns =
                moreUrgent > 0
                        && levels.get(request.level()).servedShare()
                                <= MAX_LESS_URGENT_SHARE * leastShareOfMoreUrgent;
        if (!mayTakeTurns) {
            return expectedMs;
        }
        long untilAgedMs = Math.max(0, request.agedAtMs() - nowMs);
        return Math.min(expectedMs, untilAgedMs + drain.estimateDrainMs(2 * (aheadInLevel + 1)));
    }

    /** Removes a request in favour of a new one; returns null if there is none. */
    private WaitingRequest removeDisplacedBy(WaitingRequest request, WaitingLevel ownLevel) {
        int keptPlaces = Math.max(1, budget.maxRequests() / KEPT_PLACES_DIVISOR);
        boolean isBelowKeptPlaces = ownLevel.size() < keptPlaces;
        WaitingRequest displaced = null;
        for (var entry : levels.descendingMap().entrySet()) {
            WaitingLevel level = entry.getValue();
            boolean mayDisplace = entry.getKey() > request.level() || isBelowKeptPlaces;
            if (level != ownLevel && mayDisplace && level.size() > keptPlaces) {
                displaced = level.removeNewestOfLargest();
                break;
            }
        }
        if (displaced == null) {
            displaced = ownLevel.removeDisplacedBy(request);
        }
        if (displaced != null) {
            size--;
            budget.remove(displaced.bytes());
        }
        return displaced;
    }

    private void add(WaitingRequest request, long nowMs) {
        drain.start(nowMs);
        levels.get(request.level()).add(request);
        size++;
        budget.add(request.bytes());
    }

    private void release(WaitingRequest request, long nowMs) {
        size--;
        budget.remove(request.bytes());
        if (size == 0) {
            drain.stop(nowMs);
        }
    }

    private AdmissionRefusal refuse(
            WaitingRequest request, AdmissionRefusal.Reason reason, long expectedMs) {
        levels.get(request.level()).recordRefused();
        return new AdmissionRefusal(request.entry(), reason, toRetryAfterMs(expectedMs));
    }

    private long toRetryAfterMs(long expectedMs) {
        long delayMs = expectedMs > 0 ? expectedMs : DEFAULT_RETRY_AFTER_MS;
        double spreadMs = delayMs * (1 + RETRY_AFTER_SPREAD * random.nextDouble());
        return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, (long) spreadMs));
    }
}
